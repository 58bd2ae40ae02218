/**
 * Measured speed of a runner and the prediction from it: time to first token grows with the
 * prompt tokens that are not cached, time between tokens with the share of busy slots, and a
 * request beyond the slots waits for others to end.
 */
import { Ewma } from './ewma.js'

/** Fixed cost of a first token, expressed in prompt tokens. */
const FIRST_TOKEN_OVERHEAD = 200

/** How much slower a token is when all slots are busy than when one is, less 1. */
const BUSY_SLOWDOWN = 1

/** Samples below which a measured figure is not trusted. */
const TRUSTED_SAMPLES = 5

/** Times the expectation beyond which a first token rather waited in a queue; more is not learnt at once. */
const QUEUED_FACTOR = 1.5

/** Milliseconds after which figures without new samples are no ground for a refusal: else refusals would preserve them. */
const STALE_MS = 10_000

/** Mean deviations added for a cautious prediction. */
const CAUTION = 1

/** Assumed before anything was measured, in milliseconds. */
const DEFAULT_UNIT_MS = 0.5
const DEFAULT_TOKEN_MS = 20
const DEFAULT_TOKENS = 200

/** What one prediction is about. */
export interface Work {
  readonly uncachedTokens: number
  readonly answerTokens: number
  /** Requests at the runner without this one. */
  readonly load: number
  readonly slots: number
}

/** Predicted times in milliseconds. */
export interface Prediction {
  readonly waitMs: number
  readonly prefillMs: number
  readonly firstTokenMs: number
  readonly totalMs: number
  /** For how long a typical request holds a slot. */
  readonly slotMs: number
}

/** Measured speed, of one runner or of the fleet. Times are monotonic milliseconds. */
export class LatencyModel {
  readonly firstTokenMs = new Ewma()
  readonly promptTokens = new Ewma()
  readonly tokenMs: Ewma
  readonly answerTokens = new Ewma()
  private answeredAt = -Infinity

  /** @param clipFactor - times the mean for which one sample counts at most */
  constructor (clipFactor?: number) {
    this.tokenMs = new Ewma(clipFactor)
  }

  /**
   * Whether enough was measured, and lately, to refuse a request by it.
   * @param mono - present time
   */
  isTrusted (mono: number): boolean {
    return this.tokenMs.count >= TRUSTED_SAMPLES && mono - this.answeredAt <= STALE_MS
  }

  sawFirstToken (afterMs: number, uncachedTokens: number): void {
    const expectedMs = this.unitMs(0) * (uncachedTokens + FIRST_TOKEN_OVERHEAD)
    const queuedMs = this.firstTokenMs.count < TRUSTED_SAMPLES ? Infinity : QUEUED_FACTOR * expectedMs
    this.firstTokenMs.add(Math.min(afterMs, queuedMs))
    this.promptTokens.add(uncachedTokens + FIRST_TOKEN_OVERHEAD)
  }

  /**
   * Milliseconds for each computed prompt token. A ratio of means, since the mean of ratios is
   * dominated by short prompts that waited for a step to end.
   * @param deviations - mean deviations of the first-token time added for caution
   */
  unitMs (deviations: number): number {
    return this.firstTokenMs.above(deviations) / Math.max(1, this.promptTokens.mean)
  }

  /**
   * Takes the times of an ended request.
   * @param decodeMs - from the first token to the end
   * @param tokens - tokens generated
   * @param busy - share of slots that was busy, 0 to 1
   * @param mono - present time
   */
  sawAnswer (decodeMs: number, tokens: number, busy: number, mono: number): void {
    this.answeredAt = mono
    this.answerTokens.add(tokens)
    if (tokens > 1) this.tokenMs.add(decodeMs / (tokens - 1) / slowdown(busy))
  }
}

/**
 * Predicts the times of one request.
 * @param own - what was measured of the runner
 * @param fleet - what was measured of all, used where the runner's own figures are too few
 * @param work - the request and the load
 * @param cautious - true for a bound that most requests meet, false for the expected times
 */
export function predict (own: LatencyModel, fleet: LatencyModel, work: Work, cautious: boolean): Prediction {
  const deviations = cautious ? CAUTION : 0
  const unitMs = unitFigure(own, fleet, deviations)
  const tokenMs = tokenFigure(own, fleet, deviations)
  const perTokenMs = tokenMs * slowdown(Math.min(1, (work.load + 1) / work.slots))
  const prefillMs = unitMs * (work.uncachedTokens + FIRST_TOKEN_OVERHEAD)
  const typicalTokens = fleet.answerTokens.count > 0 ? fleet.answerTokens.mean : DEFAULT_TOKENS
  const slotMs = prefillMs + typicalTokens * perTokenMs
  const waitMs = Math.max(0, work.load + 1 - work.slots) * slotMs / work.slots
  const firstTokenMs = waitMs + prefillMs
  const totalMs = firstTokenMs + work.answerTokens * perTokenMs
  return { waitMs, prefillMs, firstTokenMs, totalMs, slotMs }
}

function slowdown (busy: number): number {
  return 1 + BUSY_SLOWDOWN * busy
}

function unitFigure (own: LatencyModel, fleet: LatencyModel, deviations: number): number {
  if (own.firstTokenMs.count >= TRUSTED_SAMPLES) return own.unitMs(deviations)
  return fleet.firstTokenMs.count > 0 ? fleet.unitMs(deviations) : DEFAULT_UNIT_MS
}

function tokenFigure (own: LatencyModel, fleet: LatencyModel, deviations: number): number {
  if (own.tokenMs.count >= TRUSTED_SAMPLES) return own.tokenMs.above(deviations)
  return fleet.tokenMs.count > 0 ? fleet.tokenMs.above(deviations) : DEFAULT_TOKEN_MS
}
