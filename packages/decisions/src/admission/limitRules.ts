/** Rules by which a limit of calls in flight follows the load. */
import type { LimitRule, LoadWindow } from './admissionTypes.js'

/** Share of slow calls above which AIMD lowers its limit. */
const SLOW_SHARE = 0.15
const AIMD_DECREASE = 0.75
/** Growth of a limit that binds without being too high. */
const GROWTH_SHARE = 0.15
/** The same in calls, at least. */
const MIN_GROWTH = 1

/** Latency against the best recent one from which the gradient falls below 1. */
const GRADIENT_TOLERANCE = 1.5
const MIN_GRADIENT = 0.6
/** Weight of a new value of the gradient's limit. */
const GRADIENT_GAIN = 0.6

/** Additive increase while calls are on time, multiplicative decrease when they are slow. */
export class AimdRule implements LimitRule {
  next (limit: number, { slowRatio, isBinding }: LoadWindow): number {
    if (slowRatio > SLOW_SHARE) return limit * AIMD_DECREASE
    return isBinding ? limit + Math.max(MIN_GROWTH, limit * GROWTH_SHARE) : limit
  }
}

/** Follows the ratio of the best recent latency to the present one, with room for a small queue. */
export class GradientRule implements LimitRule {
  next (limit: number, { latencyRatio, bestRatio, isBinding }: LoadWindow): number {
    const gradient = Math.max(MIN_GRADIENT, Math.min(1, GRADIENT_TOLERANCE * bestRatio / latencyRatio))
    const target = limit * gradient + (isBinding || gradient < 1 ? Math.sqrt(limit) / 2 : 0)
    return limit + GRADIENT_GAIN * (target - limit)
  }
}
