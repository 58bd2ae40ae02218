/**
 * Matches outcomes against the expectations of a scenario and describes them in error messages.
 */
import type { Attempt } from '../callers/callerTypes.js'
import type { Expectation } from '../language/scenarioSchema.js'

/** Whether an attempt ended as expected; an open attempt never matches. */
export function meetsExpectation (attempt: Attempt | undefined, expected: Expectation): boolean {
  const outcome = attempt?.outcome
  if (attempt === undefined || outcome === undefined) return false
  if (expected === 'any') return true
  if (expected === 'answered') return outcome.kind === 'answered' && outcome.whole
  if (expected === 'cut') return outcome.kind === 'lost' || (outcome.kind === 'answered' && !outcome.whole)
  if (outcome.kind !== 'refused') return false
  if (expected === 'refused') return true
  const nameMatches = expected.refused === undefined || attempt.refusal?.name === expected.refused
  return nameMatches && (expected.ran === undefined || attempt.refusal?.ran === expected.ran)
}

/** Describes the outcome of an attempt in a few words. */
export function describeOutcome (attempt: Attempt | undefined): string {
  const outcome = attempt?.outcome
  if (attempt === undefined) return 'not sent'
  if (outcome === undefined) return `open after ${attempt.pieces} pieces`
  if (outcome.kind === 'answered') return outcome.whole ? 'answered' : 'cut'
  if (outcome.kind === 'lost') return outcome.sent ? 'lost' : 'not connected'
  return `refused ${attempt.refusal?.name} (ran: ${outcome.ran})`
}

/** Whether a retry may succeed where this ended attempt did not. */
export function isRetryable (attempt: Attempt): boolean {
  const { outcome, refusal } = attempt
  if (outcome?.kind === 'answered') return !outcome.whole
  if (refusal === undefined) return true
  return refusal.status >= 500 || refusal.status === 409 || refusal.status === 429
}
