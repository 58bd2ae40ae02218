/**
 * Compares outcomes with what a scenario expects, and shows them to people.
 */
import type { Ask } from '../callers/callerTypes.js'
import type { Expectation } from '../language/scenarioSchema.js'

/**
 * Whether an ask ended as expected; one that is still open did not.
 * @param ask - the ask
 * @param expected - what the scenario expects
 */
export function fitsExpectation (ask: Ask | undefined, expected: Expectation): boolean {
  const outcome = ask?.outcome
  if (ask === undefined || outcome === undefined) return false
  if (expected === 'any') return true
  if (expected === 'answered') return outcome.kind === 'answered' && outcome.whole
  if (expected === 'cut') return outcome.kind === 'lost' || (outcome.kind === 'answered' && !outcome.whole)
  if (outcome.kind !== 'refused') return false
  if (expected === 'refused') return true
  const nameFits = expected.refused === undefined || ask.refusal?.name === expected.refused
  return nameFits && (expected.ran === undefined || ask.refusal?.ran === expected.ran)
}

/**
 * An outcome in a few words.
 * @param ask - the ask
 */
export function describeOutcome (ask: Ask | undefined): string {
  const outcome = ask?.outcome
  if (ask === undefined) return 'not asked'
  if (outcome === undefined) return `open after ${ask.pieces} pieces`
  if (outcome.kind === 'answered') return outcome.whole ? 'answered' : 'cut'
  if (outcome.kind === 'lost') return outcome.sent ? 'lost' : 'not connected'
  return `refused ${ask.refusal?.name} (ran: ${outcome.ran})`
}

/**
 * Whether asking again can help.
 * @param ask - an ask that ended
 */
export function mayRetry (ask: Ask): boolean {
  const { outcome, refusal } = ask
  if (outcome?.kind === 'answered') return !outcome.whole
  if (refusal === undefined) return true
  return refusal.status >= 500 || refusal.status === 409 || refusal.status === 429
}
