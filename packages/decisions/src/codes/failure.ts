/**
 * Error value of the whole system: a result code, whether the request was executed, and when to retry. Functions return it in a
 * purify-ts `Either`; it is thrown only where a library requires it.
 */
import type { Either } from 'purify-ts'
import { resultCodes, type ExecutionStatus, type ResultCode, type ResultName } from './resultCodes.js'

/** Further properties of a {@link Failure}. */
export interface FailureOptions {
  /** Whether the request was executed. `no` is a promise to the caller: it needs a proof at the place where the failure is made. */
  readonly ran: ExecutionStatus
  /** Milliseconds after which to retry. */
  readonly retryAfterMs?: number
  /** Individual errors, if there are several. */
  readonly errors?: readonly string[]
}

/** A failure with a numbered result code. */
export class Failure extends Error {
  readonly code: ResultName
  readonly ran: ExecutionStatus
  readonly retryAfterMs: number | undefined
  readonly errors: readonly string[]

  /** @param detail - what happened, for people */
  constructor (code: ResultName, detail: string, options: FailureOptions) {
    super(detail)
    this.name = 'Failure'
    this.code = code
    this.ran = options.ran
    this.retryAfterMs = options.retryAfterMs === undefined ? undefined : Math.ceil(options.retryAfterMs)
    this.errors = options.errors ?? []
  }

  get entry (): ResultCode {
    return resultCodes[this.code]
  }
}

/** An RFC 9457 problem body. */
export interface ProblemBody {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly code: string
  readonly name: ResultName
  readonly ran: ExecutionStatus
  readonly retryAfterMs?: number
  readonly errors?: readonly string[]
}

/** Renders a failure as an RFC 9457 problem body. */
export function toProblem (failure: Failure): ProblemBody {
  const { number, status, title } = failure.entry
  return {
    type: `urn:rosemaryspread:code:${number}`,
    title,
    status,
    detail: failure.message,
    code: `RS-${number}`,
    name: failure.code,
    ran: failure.ran,
    ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: failure.retryAfterMs }),
    ...(failure.errors.length === 0 ? {} : { errors: failure.errors })
  }
}

/** Wraps any thrown value in a {@link Failure}. */
export function toFailure (err: unknown): Failure {
  if (err instanceof Failure) return err
  return new Failure('internal', err instanceof Error ? err.message : String(err), { ran: 'unknown' })
}

/** The failure of a request that may have run: the same one if it makes no other claim. */
export function mayHaveRun (failure: Failure): Failure {
  const { code, ran, message, retryAfterMs, errors } = failure
  return ran === 'no' ? new Failure(code, message, { ran: 'unknown', retryAfterMs, errors }) : failure
}

/** The failure of a result; undefined on success. */
export function failureOf (result: Either<Failure, unknown>): Failure | undefined {
  return result.caseOf<Failure | undefined>({ Left: failure => failure, Right: () => undefined })
}
