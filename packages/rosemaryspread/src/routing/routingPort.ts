/**
 * What request handling asks of routing.
 */
import type { Either, Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AdmittedCompletion } from '../completion/completionAdmission.js'
import type { RunnerAddress } from '../completion/completionUnsettled.js'

/** A runner for a request, and those a keyed request passed over. */
export interface RoutedRunner {
  readonly choice: RunnerAddress
  readonly before: readonly RunnerAddress[]
}

/** Why no runner was chosen. */
export interface RouteRefusal {
  readonly failure: Failure
  /** For a keyed request: where a run of an earlier attempt would be, in this order. */
  readonly lookIn: readonly RunnerAddress[]
}

/** One dispatched request, told on as it goes. */
export interface DispatchedRun {
  firstToken (afterMs: number): void
  ended (ok: boolean, tokens: number): void
}

/** Routing as request handling uses it. */
export interface RoutingPort {
  /**
   * Chooses a runner and writes the decision's log line.
   * @param admitted - the request
   * @param exclude - runners tried already
   */
  route (admitted: AdmittedCompletion, exclude: readonly string[]): Either<RouteRefusal, RoutedRunner>
  dispatched (runner: string, admitted: AdmittedCompletion): DispatchedRun
  /**
   * Milliseconds to wait before another attempt; nothing when it is not to be tried.
   * @param admitted - the request; completions may be repeated
   * @param attempts - attempts made so far
   */
  retryDelay (admitted: AdmittedCompletion, attempts: number): Maybe<number>
  inFlight (runner: string): number
}
