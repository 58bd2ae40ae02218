/**
 * The one error value of the system: a result code, whether the work ran, and when to come back.
 * Functions return it inside purify-ts `Either`; it is thrown only where a library demands it.
 */
import type { Either } from 'purify-ts'
import { resultCodes, type Ran, type ResultCode, type ResultName } from './resultCodes.js'

/** Optional parts of a {@link Failure}. */
export interface FailureExtras {
  /** Whether the work ran; `no` unless given. */
  readonly ran?: Ran
  /** Milliseconds after which the caller should come back. */
  readonly retryAfterMs?: number
  /** Every single mistake found, when there are several. */
  readonly errors?: readonly string[]
}

/** A numbered failure. */
export class Failure extends Error {
  readonly code: ResultName
  readonly ran: Ran
  readonly retryAfterMs: number | undefined
  readonly errors: readonly string[]

  /**
   * @param code - name in the table of result codes
   * @param detail - what happened, for people
   * @param extras - whether it ran and when to come back
   */
  constructor (code: ResultName, detail: string, extras: FailureExtras = {}) {
    super(detail)
    this.name = 'Failure'
    this.code = code
    this.ran = extras.ran ?? 'no'
    this.retryAfterMs = extras.retryAfterMs === undefined ? undefined : Math.ceil(extras.retryAfterMs)
    this.errors = extras.errors ?? []
  }

  /** The table entry of this failure. */
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
  readonly ran: Ran
  readonly retryAfterMs?: number
  readonly errors?: readonly string[]
}

/**
 * Renders a failure as an RFC 9457 problem body.
 * @param failure - the failure to render
 */
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

/**
 * Turns anything thrown into a {@link Failure}.
 * @param err - the thrown value
 */
export function toFailure (err: unknown): Failure {
  if (err instanceof Failure) return err
  return new Failure('internal', err instanceof Error ? err.message : String(err), { ran: 'unknown' })
}

/**
 * The failure of a result, or undefined when it succeeded.
 * @param result - any result
 */
export function failureOf (result: Either<Failure, unknown>): Failure | undefined {
  return result.caseOf<Failure | undefined>({ Left: failure => failure, Right: () => undefined })
}
