/**
 * Latency model of a runner. Time to first token grows with the uncached prompt tokens, time per
 * output token with the share of busy slots, and a request beyond the slots waits for one to free up.
 */
import { Ewma } from './ewma.js'

/** Fixed cost of a first token, in equivalent prompt tokens. */
const FIRST_TOKEN_OVERHEAD = 200

/** Relative increase of the time per token from an idle to a fully busy runner. */
const BUSY_SLOWDOWN = 1

/** With fewer samples a measured value is not used. */
const TRUSTED_SAMPLES = 5

/** A first token later than this multiple of the expected time probably waited in a queue, so its sample is clipped there. */
const QUEUED_FACTOR = 1.5

/** Older measurements justify no refusal: a model that refuses all requests would never get new samples. */
const STALE_MS = 10_000

/** Mean deviations added in a cautious prediction. */
const CAUTION = 1

/** Assumed until the first measurement. */
const DEFAULT_UNIT_MS = 0.5
const DEFAULT_TOKEN_MS = 20
const DEFAULT_TOKENS = 200

/** Input of a prediction: the request and the runner that would serve it. */
export interface Work {
  readonly uncachedTokens: number
  readonly answerTokens: number
  /** Requests at the runner, without this one. */
  readonly load: number
  readonly slots: number
}

export interface Prediction {
  readonly waitMs: number
  readonly prefillMs: number
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Time for which a typical request occupies a slot. */
  readonly slotMs: number
}

/** Measured speed of one runner or of the fleet. */
export class LatencyModel {
  readonly firstTokenMs = new Ewma()
  readonly promptTokens = new Ewma()
  readonly tokenMs: Ewma
  readonly answerTokens = new Ewma()
  private answeredAt = -Infinity

  /** @param clipFactor - multiple of the mean at which samples of the time per output token are clipped */
  constructor (clipFactor?: number) {
    this.tokenMs = new Ewma(clipFactor)
  }

  /**
   * Whether there are enough recent samples to refuse a request on their basis.
   * @param mono - current monotonic time in milliseconds
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
   * Milliseconds per computed prompt token: a ratio of means, because the mean of ratios is
   * dominated by short prompts that wait for an engine step to end.
   * @param deviations - mean deviations added to the first-token time
   */
  unitMs (deviations: number): number {
    return this.firstTokenMs.above(deviations) / Math.max(1, this.promptTokens.mean)
  }

  /**
   * Records a completed request.
   * @param decodeMs - time from the first token to the end
   * @param tokens - tokens generated
   * @param busyShare - share of busy slots, 0 to 1
   * @param mono - current monotonic time in milliseconds
   */
  sawAnswer (decodeMs: number, tokens: number, busy: number, mono: number): void {
    this.answeredAt = mono
    this.answerTokens.add(tokens)
    if (tokens > 1) this.tokenMs.add(decodeMs / (tokens - 1) / slowdown(busy))
  }
}

/**
 * Predicts the latency of one request.
 * @param runner - measured speed of the runner
 * @param fleet - measured speed of all runners, used while the runner has too few samples
 * @param input - the request and the load
 * @param cautious - true for an upper bound that most requests meet, false for the expected times
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
