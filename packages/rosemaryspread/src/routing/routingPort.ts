/**
 * What request handling asks of routing.
 */
import type { Either, Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { StreamLoad } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { AdmittedCompletion } from '../completion/completionAdmission.js'
import type { RunnerAddress } from '../completion/completionUnsettled.js'

/** A runner for a request, and those a keyed request passed over. */
export interface RoutedRunner {
  readonly choice: RunnerAddress
  readonly before: readonly RunnerAddress[]
  /** Counted at the runner already; has to be ended also when nothing is dispatched. */
  readonly run: DispatchedRun
}

/** Why no runner was chosen. */
export interface RouteRefusal {
  readonly failure: Failure
  /** For a keyed request: where a run of an earlier attempt would be, in this order. */
  readonly lookIn: readonly RunnerAddress[]
}

/** One dispatched request, told on as it goes. */
export interface DispatchedRun {
  /** The stream was opened; `load` is what the engine said of itself with it. */
  opened (load: StreamLoad | undefined): void
  /** The engine refused the run since it is leaving. */
  leaving (): void
  firstToken (afterMs: number): void
  ended (ok: boolean, tokens: number): void
}

/** Routing as request handling uses it. */
export interface RoutingPort {
  /**
   * Chooses a runner and writes the decision's log line. A first attempt waits for its turn;
   * a further one is routed or refused at once.
   * @param admitted - the request
   * @param exclude - runners tried already
   * @param gone - aborted when the caller goes away
   */
  route (admitted: AdmittedCompletion, exclude: readonly string[], gone: AbortSignal): Promise<Either<RouteRefusal, RoutedRunner>>
  /**
   * Tells that a request ended, so that another may have its turn.
   * @param admitted - the request
   * @param usedTokens - tokens it used; 0 when nothing ran
   */
  finish (admitted: AdmittedCompletion, usedTokens: number): void
  /**
   * Milliseconds to wait before another attempt; nothing when it is not to be tried.
   * @param admitted - the request; completions may be repeated
   * @param attempts - attempts made so far
   */
  retryDelay (admitted: AdmittedCompletion, attempts: number): Maybe<number>
  inFlight (runner: string): number
}
