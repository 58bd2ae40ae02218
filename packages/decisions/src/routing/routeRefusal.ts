/**
 * Refusals of the router, each with the time after which it would likely decide otherwise.
 */
import type { Instant } from '../clock/clockTypes.js'
import { Failure, type FailureExtras } from '../codes/failure.js'
import type { ResultName } from '../codes/resultCodes.js'
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
 * No runner has room and is quick enough.
 * @param req - the request
 * @param now - both clocks
 * @param judged - the runners looked at
 * @param lookIn - for keyed requests, where an earlier run would be
 */
export function refuseUnfit (req: RouteRequest, now: Instant, judged: readonly Judgement[], lookIn: readonly RunnerView[]): RouteDecision {
  const candidates = judged.map(item => item.state.view.runner)
  const withRoom = judged.filter(item => item.hasRoom)
  if (withRoom.length === 0) {
    const retryMs = Math.min(...judged.map(roomInMs))
    return refusal(req, 'overloaded', 'all runners are full', retryMs, candidates, lookIn)
  }
  const remainingMs = req.deadline.mono - now.mono
  const quickestMs = Math.min(...withRoom.map(item => item.cautious.totalMs))
  const neverFits = Math.min(...judged.map(item => item.cautious.idleMs)) > remainingMs
  const retryMs = neverFits ? RETRY_NEVER_FITS_MS : quickestMs - remainingMs
  const detail = `predicted ${Math.round(quickestMs)} ms, ${Math.round(remainingMs)} ms left`
  return refusal(req, 'deadlineOutOfReach', detail, retryMs, candidates, lookIn)
}

/** Time until the queue of a runner is short enough again. */
function roomInMs (item: Judgement): number {
  return item.cautious.slotMs / item.state.view.slots
}

function refusal (req: RouteRequest, code: ResultName, detail: string, retryMs: number, candidates: readonly string[], lookIn: readonly RunnerView[]): RouteDecision {
  const extras: FailureExtras = { ran: req.keyed ? 'unknown' : 'no', retryAfterMs: Math.ceil(Math.max(RETRY_LEAST_MS, retryMs)) }
  const base = { kind: 'refused', failure: new Failure(code, detail, extras), candidates, reason: `${code}: ${detail}` } as const
  return req.keyed ? { ...base, lookIn } : base
}
