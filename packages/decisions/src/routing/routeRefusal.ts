/**
 * Refusals of the router, each with the time after which it would likely decide otherwise.
 */
import { Failure, type FailureOptions } from '../codes/failure.js'
import type { ResultName } from '../codes/resultCodes.js'
import { predict, type LatencyModel } from './latencyModel.js'
import type { Judgement } from './runnerState.js'
import type { RouteDecision, RouteRequest, RunnerView } from './routingTypes.js'

/** Shortest time to come back, in milliseconds. */
const RETRY_LEAST_MS = 250

/** Time to come back when no runner is there, about as long as an ejection or a restart takes. */
const RETRY_NO_RUNNER_MS = 5_000

/** Time to come back when even an idle runner is too slow for the request as it stands. */
const RETRY_NEVER_FITS_MS = 60_000

/**
 * No runner may be used.
 * @param req - the request
 * @param lookIn - for keyed requests, where an earlier run would be
 */
export function refuseNoRunner (req: RouteRequest, lookIn: readonly RunnerView[]): RouteDecision {
  return refusal(req, 'noRunner', `no runner of ${req.model} may be used now`, RETRY_NO_RUNNER_MS, [], lookIn)
}

/**
 * No runner that is quick enough has room.
 * @param req - the request
 * @param fleet - measured speed of all runners
 * @param judged - the runners looked at
 * @param lookIn - for keyed requests, where an earlier run would be
 */
export function refuseFull (req: RouteRequest, fleet: LatencyModel, judged: readonly Judgement[], lookIn: readonly RunnerView[]): RouteDecision {
  const slots = judged.reduce((sum, item) => sum + item.state.view.slots, 0)
  const excess = judged.reduce((sum, item) => sum + Math.max(1, item.load + 1 - item.state.view.slots), 0)
  const work = { uncachedTokens: req.promptTokens, answerTokens: req.maxTokens, load: 0, slots: 1 }
  const retryMs = predict(fleet, fleet, work, false).slotMs * excess / slots
  return refusal(req, 'overloaded', 'all runners that are quick enough are full', retryMs, judged, lookIn)
}

/** Cautious predictions for the quickest runner and the time left, in milliseconds. */
export interface TooLate {
  readonly presentMs: number
  readonly idleMs: number
  readonly remainingMs: number
}

/**
 * None is quick enough, with room or without.
 * @param req - the request
 * @param times - predictions and time left
 * @param judged - the runners looked at
 * @param lookIn - for keyed requests, where an earlier run would be
 */
export function refuseLate (req: RouteRequest, times: TooLate, judged: readonly Judgement[], lookIn: readonly RunnerView[]): RouteDecision {
  const { presentMs, idleMs, remainingMs } = times
  const retryMs = idleMs > remainingMs ? RETRY_NEVER_FITS_MS : presentMs - remainingMs
  const detail = `predicted ${Math.round(presentMs)} ms, ${Math.round(remainingMs)} ms left`
  return refusal(req, 'deadlineOutOfReach', detail, retryMs, judged, lookIn)
}

function refusal (req: RouteRequest, code: ResultName, detail: string, retryMs: number, judged: readonly Judgement[], lookIn: readonly RunnerView[]): RouteDecision {
  const candidates = judged.map(item => item.state.view.runner)
  const extras: FailureOptions = { ran: req.keyed ? 'unknown' : 'no', retryAfterMs: Math.ceil(Math.max(RETRY_LEAST_MS, retryMs)) }
  const base = { kind: 'refused', failure: new Failure(code, detail, extras), candidates, reason: `${code}: ${detail}` } as const
  return req.keyed ? { ...base, lookIn } : base
}
