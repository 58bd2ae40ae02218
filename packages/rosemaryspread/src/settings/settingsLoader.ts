/**
 * Loads a settings file and reports all of its errors at once.
 */
import { readFile } from 'node:fs/promises'
import { Left, Right, type Either } from 'purify-ts'
import { parseDocument } from 'yaml'
import type { z } from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { settingsSchema, type Settings } from './settingsSchema.js'

/**
 * Reads and validates a settings file; a failure lists all errors.
 * @param file - path of a YAML file
 */
export async function loadSettings (file: string): Promise<Either<Failure, Settings>> {
  const text = await readFile(file, 'utf8').catch(() => undefined)
  if (text === undefined) return Left(new Failure('settingsInvalid', `settings file ${file} cannot be read`, { ran: 'no' }))
  return parseSettings(text)
}

/** Parses and validates the YAML text of a settings file. */
export function parseSettings (text: string): Either<Failure, Settings> {
  const document = parseDocument(text)
  if (document.errors.length > 0) {
    return Left(invalidSettings(document.errors.map(err => err.message.split('\n')[0] ?? err.message)))
  }
  const parsed = settingsSchema.safeParse(document.toJS())
  return parsed.success ? Right(parsed.data) : Left(invalidSettings(parsed.error.issues.flatMap(describeIssue)))
}

function invalidSettings (errors: readonly string[]): Failure {
  return new Failure('settingsInvalid', `${errors.length} ${errors.length === 1 ? 'error' : 'errors'} in the settings`, { ran: 'no', errors })
}

function describeIssue (issue: z.core.$ZodIssue): string[] {
  const path = issue.path.join('.')
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => `${path === '' ? key : `${path}.${key}`}: unknown setting`)
  }
  if (issue.code === 'invalid_value') {
    return [`${path}: use one of ${issue.values.join(', ')}`]
  }
  return [`${path === '' ? 'the file' : path}: ${issue.message}`]
}
