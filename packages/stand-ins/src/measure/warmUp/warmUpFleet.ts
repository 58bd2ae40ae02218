/**
 * Simulates in virtual time a failure domain whose targets return together and warm up while the others serve. Counts the requests
 * that reach one target in its worst second, and how many requests reach the warming target that has their prompt cached.
 */
import seedrandom from 'seedrandom'
import { warmUpStrategies, type WarmUpStrategy, type WarmUpStrategyName } from './warmUpStrategies.js'

/** Size, traffic and visibility of a simulated fleet. */
export interface WarmUpShape {
  readonly seed: string
  readonly vms: number
  readonly targets: number
  /** Number of targets that warm up. */
  readonly warming: number
  readonly requestsPerS: number
  /** Share of the requests that have the same prompt, cached by one warming target. */
  readonly hotPromptShare: number
  /** Whether every request goes to the first warming target that accepts it, as if all VMs preferred the least loaded one. */
  readonly isHerd: boolean
  /** Share of the other VMs that each VM knows. */
  readonly knownVmShare: number
}

/** Requests per second that a warming target can serve. */
export const TARGET_RATE_PER_S = 11
const WARM_UP_MS = 3_000
const WINDOW_MS = 1_000
const MS_PER_S = 1_000
/** Maximum delay until a VM learns of a target from the feed. */
const MAX_FEED_DELAY_MS = 400

export interface WarmUpCounts {
  /** Maximum requests that reached one warming target in any second. */
  readonly worstSecond: number
  /** Requests that reached any warming target. */
  readonly arrived: number
  /** Requests whose prompt is cached by a warming target, and how many of them reached it. */
  readonly affinityRequests: number
  readonly affinityHits: number
}

/**
 * Simulates one warm-up.
 * @param shape - size and traffic
 * @param strategy - bounds what each VM sends
 */
export function simulateWarmUp (shape: WarmUpShape, strategy: WarmUpStrategyName): WarmUpCounts {
  const random = seedrandom(shape.seed)
  const vmNames = Array.from({ length: shape.vms }, (_, index) => `vm-${index}`)
  const vms = vmNames.map(vm => {
    const knownVms = vmNames.filter(other => other === vm || random() < shape.knownVmShare)
    const discoveredAt = random() * MAX_FEED_DELAY_MS
    const strategies = Array.from({ length: shape.warming }, (_, index) =>
      warmUpStrategies[strategy]({ vm, target: `target-${index}`, vms: knownVms, perS: TARGET_RATE_PER_S, discoveredAt, warmAt: discoveredAt + WARM_UP_MS, random }))
    return { discoveredAt, strategies }
  })
  const arrivals = Array.from({ length: shape.warming }, (): number[] => [])
  let affinityRequests = 0
  let affinityHits = 0
  const stepMs = MS_PER_S / shape.requestsPerS
  for (let mono = 0; mono < WARM_UP_MS; mono += stepMs * -Math.log(1 - random())) {
    const vm = vms[Math.floor(random() * vms.length)]
    if (vm === undefined || mono < vm.discoveredAt) continue
    const affinityTarget = random() < shape.hotPromptShare ? 0 : Math.floor(random() * shape.targets)
    const candidates = shape.isHerd ? vm.strategies.keys() : affinityTarget < shape.warming ? [affinityTarget] : []
    if (affinityTarget < shape.warming) affinityRequests += 1
    const target = firstAllowed(vm.strategies, candidates, mono)
    if (target === undefined) continue
    arrivals[target]?.push(mono)
    vm.strategies[target]?.sent(mono)
    if (target === affinityTarget) affinityHits += 1
  }
  return { worstSecond: Math.max(...arrivals.map(maxInWindow)), arrived: arrivals.flat().length, affinityRequests, affinityHits }
}

function firstAllowed (strategies: readonly WarmUpStrategy[], candidates: Iterable<number>, mono: number): number | undefined {
  for (const index of candidates) if (strategies[index]?.maySend(mono) === true) return index
  return undefined
}

/** Largest number of the ascending times that lie within one window. */
function maxInWindow (times: readonly number[]): number {
  let from = 0
  return times.reduce((max, time, index) => {
    while (time - (times[from] ?? time) >= WINDOW_MS) from += 1
    return Math.max(max, index - from + 1)
  }, 0)
}
