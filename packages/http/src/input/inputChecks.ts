/**
 * Validation of external input. Each check returns either the typed value or all errors with their paths; `combineChecks`
 * joins checks, so that a caller receives all errors at once.
 */
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** All errors found, or the validated value. */
export type Validated<T> = Either<readonly string[], T>

function formatPath (path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, segment) => {
    if (typeof segment === 'number') return `${text}[${segment}]`
    return text === '' ? String(segment) : `${text}.${String(segment)}`
  }, '')
}

function formatIssue (issue: z.core.$ZodIssue, subject: string): string[] {
  const path = formatPath(issue.path)
  if (issue.code !== 'unrecognized_keys') return [`${path === '' ? subject : path}: ${issue.message}`]
  return issue.keys.map((key) => `${path === '' ? key : `${path}.${key}`}: this member is not known`)
}

/**
 * Validates a value against a schema.
 * @param subject - name of the value itself in error messages
 */
export function validate<S extends z.ZodType> (schema: S, value: unknown, subject: string): Validated<z.output<S>> {
  const result = schema.safeParse(value)
  if (result.success) return Right(result.data)
  return Left(result.error.issues.flatMap((issue) => formatIssue(issue, subject)))
}

/** Combines two checks; fails with the errors of both. */
export function combineChecks<A, B> (first: Validated<A>, second: Validated<B>): Validated<readonly [A, B]> {
  const inputErrors = [...first.swap().orDefault([]), ...second.swap().orDefault([])]
  if (inputErrors.length > 0) return Left(inputErrors)
  return first.chain((a) => second.map((b) => [a, b] as const))
}

/** Creates the failure for invalid input. */
export function badRequest (inputErrors: readonly string[]): Failure {
  const detail = inputErrors.length === 1 ? String(inputErrors[0]) : `${inputErrors.length} mistakes, see errors`
  return new Failure('badRequest', detail, { ran: 'no', errors: inputErrors })
}
