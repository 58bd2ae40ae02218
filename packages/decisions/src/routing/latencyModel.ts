/**
 * Latency model of a runner. Time to first token grows with the uncached prompt tokens, time per
 * output token with the share of busy slots, and a request beyond the slots waits for one to free up.
 */
import { Ewma } from './ewma.js'

/** Fixed cost of a first token, in equivalent prompt tokens. */
const FIRST_TOKEN_OVERHEAD_TOKENS = 200

/** Relative increase of the time per token from an idle to a fully busy runner. */
const BUSY_SLOWDOWN = 1

/** With fewer samples a measured value is not used. */
const MIN_TRUSTED_SAMPLES = 5

/** A first token later than this multiple of the expected time probably waited in a queue, so its sample is clipped there. */
const FIRST_TOKEN_CLIP_FACTOR = 1.5

/** Older measurements justify no refusal: a model that refuses all requests would never get new samples. */
const STALE_MS = 10_000

/** Mean deviations added in a cautious prediction. */
const CAUTIOUS_DEVIATIONS = 1

/** Assumed until the first measurement. */
const DEFAULT_PREFILL_TOKEN_MS = 0.5
const DEFAULT_DECODE_TOKEN_MS = 20
const DEFAULT_ANSWER_TOKENS = 200

/** Input of a prediction: the request and the runner that would serve it. */
export interface PredictionInput {
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
  readonly decodeTokenMs: Ewma
  readonly answerTokens = new Ewma()
  private lastCompletedAt = -Infinity

  /** @param clipFactor - multiple of the mean at which samples of the time per output token are clipped */
  constructor (clipFactor?: number) {
    this.decodeTokenMs = new Ewma(clipFactor)
  }

  /**
   * Whether there are enough recent samples to refuse a request on their basis.
   * @param mono - current monotonic time in milliseconds
   */
  isTrusted (mono: number): boolean {
    return this.decodeTokenMs.count >= MIN_TRUSTED_SAMPLES && mono - this.lastCompletedAt <= STALE_MS
  }

  recordFirstToken (afterMs: number, uncachedTokens: number): void {
    const expectedMs = this.prefillTokenMs(0) * (uncachedTokens + FIRST_TOKEN_OVERHEAD_TOKENS)
    const maxSampleMs = this.firstTokenMs.count < MIN_TRUSTED_SAMPLES ? Infinity : FIRST_TOKEN_CLIP_FACTOR * expectedMs
    this.firstTokenMs.add(Math.min(afterMs, maxSampleMs))
    this.promptTokens.add(uncachedTokens + FIRST_TOKEN_OVERHEAD_TOKENS)
  }

  /**
   * Milliseconds per computed prompt token: a ratio of means, because the mean of ratios is
   * dominated by short prompts that wait for an engine step to end.
   * @param deviations - mean deviations added to the first-token time
   */
  prefillTokenMs (deviations: number): number {
    return this.firstTokenMs.upperEstimate(deviations) / Math.max(1, this.promptTokens.mean)
  }

  /**
   * Records a completed request.
   * @param decodeMs - time from the first token to the end
   * @param tokens - tokens generated
   * @param busyShare - share of busy slots, 0 to 1
   * @param mono - current monotonic time in milliseconds
   */
  recordCompletion (decodeMs: number, tokens: number, busyShare: number, mono: number): void {
    this.lastCompletedAt = mono
    this.answerTokens.add(tokens)
    if (tokens > 1) this.decodeTokenMs.add(decodeMs / (tokens - 1) / slowdown(busyShare))
  }
}

/**
 * Predicts the latency of one request.
 * @param runner - measured speed of the runner
 * @param fleet - measured speed of all runners, used while the runner has too few samples
 * @param input - the request and the load
 * @param cautious - true for an upper bound that most requests meet, false for the expected times
 */
export function predict (runner: LatencyModel, fleet: LatencyModel, input: PredictionInput, cautious: boolean): Prediction {
  const deviations = cautious ? CAUTIOUS_DEVIATIONS : 0
  const prefillTokenMs = effectivePrefillTokenMs(runner, fleet, deviations)
  const decodeTokenMs = effectiveDecodeTokenMs(runner, fleet, deviations)
  const loadedTokenMs = decodeTokenMs * slowdown(Math.min(1, (input.load + 1) / input.slots))
  const prefillMs = prefillTokenMs * (input.uncachedTokens + FIRST_TOKEN_OVERHEAD_TOKENS)
  const typicalTokens = fleet.answerTokens.count > 0 ? fleet.answerTokens.mean : DEFAULT_ANSWER_TOKENS
  const slotMs = prefillMs + typicalTokens * loadedTokenMs
  const waitMs = Math.max(0, input.load + 1 - input.slots) * slotMs / input.slots
  const firstTokenMs = waitMs + prefillMs
  const totalMs = firstTokenMs + input.answerTokens * loadedTokenMs
  return { waitMs, prefillMs, firstTokenMs, totalMs, slotMs }
}

function slowdown (busyShare: number): number {
  return 1 + BUSY_SLOWDOWN * busyShare
}

function effectivePrefillTokenMs (runner: LatencyModel, fleet: LatencyModel, deviations: number): number {
  if (runner.firstTokenMs.count >= MIN_TRUSTED_SAMPLES) return runner.prefillTokenMs(deviations)
  return fleet.firstTokenMs.count > 0 ? fleet.prefillTokenMs(deviations) : DEFAULT_PREFILL_TOKEN_MS
}

function effectiveDecodeTokenMs (runner: LatencyModel, fleet: LatencyModel, deviations: number): number {
  if (runner.decodeTokenMs.count >= MIN_TRUSTED_SAMPLES) return runner.decodeTokenMs.upperEstimate(deviations)
  return fleet.decodeTokenMs.count > 0 ? fleet.decodeTokenMs.upperEstimate(deviations) : DEFAULT_DECODE_TOKEN_MS
}
