/**
 * Simulates in virtual time a failure domain whose targets return together and warm up while the others serve. Counts the requests
 * that reach one target in its worst second, and how many requests reach the warming target that has their prompt cached.
 */
import seedrandom from 'seedrandom'
import { warmUpWays, type WarmUpWay, type WarmUpWayName } from './warmUpWays.js'

/** Size, traffic and visibility of a simulated fleet. */
export interface WarmUpShape {
  readonly seed: string
  readonly vms: number
  readonly targets: number
  /** Number of targets that warm up. */
  readonly warming: number
  readonly requestsPerS: number
  /** Share of the requests that have the same prompt, cached by one warming target. */
  readonly hotPart: number
  /** Whether every request goes to the first warming target that accepts it, as if all VMs preferred the least loaded one. */
  readonly isHerd: boolean
  /** Share of the other VMs that each VM knows. */
  readonly knownPart: number
}

/** Requests per second that a warming target can serve. */
export const BORNE_PER_S = 11
const WARM_UP_MS = 3_000
const WINDOW_MS = 1_000
const MS_PER_S = 1_000
/** Maximum delay until a VM learns of a target from the feed. */
const FEED_MS = 400

export interface WarmUpCounts {
  /** Maximum requests that reached one warming target in any second. */
  readonly worstSecond: number
  /** Requests that reached any warming target. */
  readonly arrived: number
  /** Requests whose prompt is cached by a warming target, and how many of them reached it. */
  readonly homeless: number
  readonly atHome: number
}

/**
 * Simulates one warm-up.
 * @param shape - size and traffic
 * @param strategy - bounds what each VM sends
 */
export function playWarmUp (shape: WarmUpShape, way: WarmUpWayName): WarmUpCounts {
  const random = seedrandom(shape.seed)
  const names = Array.from({ length: shape.vms }, (_, index) => `vm-${index}`)
  const vms = names.map(vm => {
    const known = names.filter(other => other === vm || random() < shape.knownPart)
    const knownAt = random() * FEED_MS
    const ways = Array.from({ length: shape.warming }, (_, index) =>
      warmUpWays[way]({ vm, target: `target-${index}`, vms: known, perS: BORNE_PER_S, knownAt, warmAt: knownAt + WARM_UP_MS, random }))
    return { knownAt, ways }
  })
  const arrivals = Array.from({ length: shape.warming }, (): number[] => [])
  let homeless = 0
  let atHome = 0
  const stepMs = MS_PER_S / shape.requestsPerS
  for (let mono = 0; mono < WARM_UP_MS; mono += stepMs * -Math.log(1 - random())) {
    const vm = vms[Math.floor(random() * vms.length)]
    if (vm === undefined || mono < vm.knownAt) continue
    const home = random() < shape.hotPart ? 0 : Math.floor(random() * shape.targets)
    const wanted = shape.isHerd ? vm.ways.keys() : home < shape.warming ? [home] : []
    if (home < shape.warming) homeless += 1
    const target = firstOpen(vm.ways, wanted, mono)
    if (target === undefined) continue
    arrivals[target]?.push(mono)
    vm.ways[target]?.sent(mono)
    if (target === home) atHome += 1
  }
  return { worstSecond: Math.max(...arrivals.map(worstWindow)), arrived: arrivals.flat().length, homeless, atHome }
}

function firstOpen (ways: readonly WarmUpWay[], wanted: Iterable<number>, mono: number): number | undefined {
  for (const index of wanted) if (ways[index]?.maySend(mono) === true) return index
  return undefined
}

/** Largest number of the ascending times that lie within one window. */
function worstWindow (times: readonly number[]): number {
  let from = 0
  return times.reduce((worst, time, index) => {
    while (time - (times[from] ?? time) >= WINDOW_MS) from += 1
    return Math.max(worst, index - from + 1)
  }, 0)
}
