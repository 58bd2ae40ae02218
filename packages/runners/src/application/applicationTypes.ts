/**
 * Types of application runners: plain HTTP services to which calls are forwarded unchanged.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

export interface ApplicationCall {
  readonly requestId: string
  readonly method: 'GET' | 'POST'
  /** Path and query below the service. */
  readonly path: string
  readonly contentType?: string
  readonly body: Buffer
  readonly timeoutMs: number
}

export interface ApplicationAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  /** Time for which the runner requests no further calls from this VM, from `Retry-After`; absent without the header. */
  readonly pauseMs?: number
}

/**
 * Client of application runners; never retries. Failure `runnerUnreachable` has `ran: no` only if
 * no connection was made.
 */
export interface ApplicationClient {
  call (address: string, call: ApplicationCall): Promise<Either<Failure, ApplicationAnswer>>
}
