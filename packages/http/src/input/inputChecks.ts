/**
 * Validation of external input. Each check returns either the typed value or all errors with their paths; `combineChecks`
 * joins checks, so that a caller receives all errors at once.
 */
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** All errors found, or the validated value. */
export type Checked<T> = Either<readonly string[], T>

function pathText (path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`
    return text === '' ? String(part) : `${text}.${String(part)}`
  }, '')
}

function issueTexts (issue: z.core.$ZodIssue, subject: string): string[] {
  const at = pathText(issue.path)
  if (issue.code !== 'unrecognized_keys') return [`${at === '' ? subject : at}: ${issue.message}`]
  return issue.keys.map((key) => `${at === '' ? key : `${at}.${key}`}: this member is not known`)
}

/**
 * Validates a value against a schema.
 * @param subject - name of the value itself in error messages
 */
export function checkBy<S extends z.ZodType> (schema: S, value: unknown, subject: string): Checked<z.output<S>> {
  const result = schema.safeParse(value)
  if (result.success) return Right(result.data)
  return Left(result.error.issues.flatMap((issue) => issueTexts(issue, subject)))
}

/** Combines two checks; fails with the errors of both. */
export function together<A, B> (first: Checked<A>, second: Checked<B>): Checked<readonly [A, B]> {
  const mistakes = [...first.swap().orDefault([]), ...second.swap().orDefault([])]
  if (mistakes.length > 0) return Left(mistakes)
  return first.chain((a) => second.map((b) => [a, b] as const))
}

/** Creates the failure for invalid input. */
export function badRequest (mistakes: readonly string[]): Failure {
  const detail = mistakes.length === 1 ? String(mistakes[0]) : `${mistakes.length} mistakes, see errors`
  return new Failure('badRequest', detail, { errors: mistakes })
}
