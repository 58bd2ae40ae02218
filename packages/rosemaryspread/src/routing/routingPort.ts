/** Routing as used by request handling. */
import type { Either, Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { StreamLoad } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { AdmittedCompletion } from '../completion/completionAdmission.js'
import type { RunnerAddress } from '../completion/completionUnsettled.js'

/** The runner chosen for a request. */
export interface RoutedRunner {
  readonly choice: RunnerAddress
  /** For a keyed request: preferred runners that were skipped, where the request must be sealed first. */
  readonly runnersToSeal: readonly RunnerAddress[]
  /** Already counted at the runner; must be ended even if nothing is dispatched. */
  readonly run: DispatchedRun
}

/** Why no runner was chosen. */
export interface RouteRefusal {
  readonly failure: Failure
  /** For a keyed request: runners that may have run an earlier attempt, in lookup order. */
  readonly lookupRunners: readonly RunnerAddress[]
}

/** Progress of one dispatched request, as reported by its sender. */
export interface DispatchedRun {
  /** The stream was opened; `load` is what the engine reported with it. */
  streamOpened (load: StreamLoad | undefined): void
  /** The engine refused the run because it is leaving. */
  leaving (): void
  /** The first token arrived, `afterMs` milliseconds after the start of the completion. */
  firstToken (afterMs: number): void
  /** The request ended; `tokens` is what it used. */
  ended (isSuccessful: boolean, tokens: number): void
}

export interface RoutingPort {
  /**
   * Chooses a runner and logs the decision. A first attempt waits in the queue; a further attempt is routed or
   * refused at once.
   * @param exclude - runners tried already
   * @param callerGone - aborted when the caller disconnects
   */
  route (admitted: AdmittedCompletion, exclude: readonly string[], callerGone: AbortSignal): Promise<Either<RouteRefusal, RoutedRunner>>
  /**
   * Reports that a request ended, which frees its place in the queue.
   * @param usedTokens - 0 when nothing ran
   */
  finish (admitted: AdmittedCompletion, usedTokens: number): void
  /**
   * Milliseconds to wait before another attempt; nothing if no further attempt is allowed.
   * @param admitted - the request; completions may be repeated
   * @param attempts - attempts made so far
   */
  retryDelay (admitted: AdmittedCompletion, attempts: number): Maybe<number>
  /** Requests of this VM in flight at a runner. */
  inFlight (runner: string): number
}
