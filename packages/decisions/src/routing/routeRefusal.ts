/**
 * Refusals of the router, each with the delay after which a retry is likely to be accepted.
 */
import { Failure, type FailureOptions } from '../codes/failure.js'
import type { ResultName } from '../codes/resultCodes.js'
import { predict, type LatencyModel } from './latencyModel.js'
import type { RunnerEvaluation } from './runnerState.js'
import type { RouteDecision, RouteRequest, RunnerView } from './routingTypes.js'

const MIN_RETRY_AFTER_MS = 250

/** Retry delay when no runner is available: about the duration of an ejection or a restart. */
const NO_RUNNER_RETRY_AFTER_MS = 5_000

/** Retry delay when even an idle runner is too slow for the request. */
const TOO_SLOW_RETRY_AFTER_MS = 60_000

/**
 * Refuses because no runner is available.
 * @param lookupRunners - for keyed requests, the runners where an earlier run may be found
 */
export function refuseNoRunner (req: RouteRequest, lookupRunners: readonly RunnerView[]): RouteDecision {
  return refusal(req, 'noRunner', `no runner is available for model ${req.model}`, NO_RUNNER_RETRY_AFTER_MS, [], lookupRunners)
}

/**
 * Refuses because every runner that is fast enough is at capacity.
 * @param fleet - measured speed of all runners
 * @param lookupRunners - for keyed requests, the runners where an earlier run may be found
 */
export function refuseOverloaded (req: RouteRequest, fleet: LatencyModel, evaluated: readonly RunnerEvaluation[], lookupRunners: readonly RunnerView[]): RouteDecision {
  const slots = evaluated.reduce((sum, item) => sum + item.state.view.slots, 0)
  const excess = evaluated.reduce((sum, item) => sum + Math.max(1, item.load + 1 - item.state.view.slots), 0)
  const work = { uncachedTokens: req.promptTokens, answerTokens: req.maxTokens, load: 0, slots: 1 }
  const retryMs = predict(fleet, fleet, work, false).slotMs * excess / slots
  return refusal(req, 'overloaded', 'every runner that is fast enough is at capacity', retryMs, evaluated, lookupRunners)
}

/** Cautious predictions for the fastest runner, at its current load and when idle, and the time left. */
export interface DeadlineMiss {
  readonly presentMs: number
  readonly idleMs: number
  readonly remainingMs: number
}

/**
 * Refuses because no runner is fast enough, whether at capacity or not.
 * @param lookupRunners - for keyed requests, the runners where an earlier run may be found
 */
export function refuseDeadline (req: RouteRequest, times: DeadlineMiss, evaluated: readonly RunnerEvaluation[], lookupRunners: readonly RunnerView[]): RouteDecision {
  const { presentMs, idleMs, remainingMs } = times
  const retryMs = idleMs > remainingMs ? TOO_SLOW_RETRY_AFTER_MS : presentMs - remainingMs
  const detail = `predicted ${Math.round(presentMs)} ms, ${Math.round(remainingMs)} ms left`
  return refusal(req, 'deadlineOutOfReach', detail, retryMs, evaluated, lookupRunners)
}

function refusal (req: RouteRequest, code: ResultName, detail: string, retryMs: number, evaluated: readonly RunnerEvaluation[], lookupRunners: readonly RunnerView[]): RouteDecision {
  const candidates = evaluated.map(item => item.state.view.runner)
  const extras: FailureOptions = { ran: req.keyed ? 'unknown' : 'no', retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, retryMs)) }
  const base = { kind: 'refused', failure: new Failure(code, detail, extras), candidates, reason: `${code}: ${detail}` } as const
  return req.keyed ? { ...base, lookupRunners } : base
}
