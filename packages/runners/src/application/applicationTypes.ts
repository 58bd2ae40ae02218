/**
 * An application runner: a plain HTTP service to which calls are passed on whole.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** A call to pass on. */
export interface ApplicationCall {
  readonly requestId: string
  readonly method: 'GET' | 'POST'
  /** Path and query below the service. */
  readonly path: string
  readonly contentType?: string
  readonly body: Buffer
  readonly timeoutMs: number
}

/** The whole answer of an application runner. */
export interface ApplicationAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  /** Milliseconds for which the runner wants no further call of this VM; absent where it names no time. */
  readonly pauseMs?: number
}

/**
 * Calls application runners; never repeats a call by itself. Failure `runnerUnreachable` has
 * `ran: no` only when no connection was made.
 */
export interface ApplicationClient {
  call (address: string, call: ApplicationCall): Promise<Either<Failure, ApplicationAnswer>>
}
