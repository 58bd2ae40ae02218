/**
 * Generates the requests and budgets of one deployment for the budget measurement.
 */
import seedrandom from 'seedrandom'
import type { HarnessRequest } from './budgetHarness.js'

/** Size, latency and load of a deployment. */
export interface Deployment {
  readonly name: string
  readonly domains: readonly string[]
  /** Milliseconds between failure domains, one way. */
  readonly latencyMs: number
  readonly requestsPerSecond: number
}

/** Deployments measured; their latencies are assumed, the second about half of the first. */
export const deployments: readonly Deployment[] = [
  { name: 'Manos al Andén', domains: ['quito-centro', 'cumbaya', 'tababela'], latencyMs: 2, requestsPerSecond: 0.6 },
  { name: 'Tường Sạch', domains: ['thu-duc', 'tan-binh', 'binh-thanh'], latencyMs: 1, requestsPerSecond: 0.4 }
]

/** A request with its arrival time and failure domain. */
export interface ArrivingRequest extends HarnessRequest {
  readonly at: number
  readonly domain: string
}

/** Shares of ten teams in the requests; a few are large. */
const teamShares = [30, 20, 15, 10, 8, 6, 4, 3, 2, 2]
/** Share of its demand that a budget covers, alternating between budgets; half of the budgets run out shortly before the end. */
const coverageShares = [0.95, 1.5]

const MIN_TOKENS = 300
const MAX_TOKENS = 2100
const MIN_USED_SHARE = 0.2
const MAX_USED_SHARE = 0.9
const MIN_RUN_MS = 1_000
const MAX_RUN_MS = 15_000
const GIVE_UP_MS = 5_000

/** Requests and budgets of one run. */
export interface Workload {
  readonly requests: readonly ArrivingRequest[]
  /** Paid tokens by budget. */
  readonly paid: ReadonlyMap<string, number>
}

/**
 * Generates the requests of a run.
 * @param isSkewed - whether the first failure domain receives three of five requests
 * @param endMs - length of the run
 */
export function generateWorkload (deployment: Deployment, isSkewed: boolean, endMs: number, seed: string): Workload {
  const random = seedrandom(`${seed}/${deployment.name}/${String(isSkewed)}`)
  const uniform = (low: number, high: number): number => low + (high - low) * random()
  const requests: ArrivingRequest[] = []
  for (let at = 0; at < endMs; at += -Math.log(1 - random()) * 1000 / deployment.requestsPerSecond) {
    const tokens = Math.round(uniform(MIN_TOKENS, MAX_TOKENS))
    requests.push({
      at,
      requestId: `r${requests.length}`,
      budget: `team${pickIndex(teamShares, random())}`,
      domain: deployment.domains[pickIndex(isSkewed ? [3, 1, 1] : [1, 1, 1], random())] ?? '',
      tokens,
      used: Math.floor(tokens * uniform(MIN_USED_SHARE, MAX_USED_SHARE)),
      runMs: uniform(MIN_RUN_MS, MAX_RUN_MS),
      giveUpAfterMs: GIVE_UP_MS
    })
  }
  return { requests, paid: paidTokensFor(requests) }
}

function pickIndex (shares: readonly number[], position: number): number {
  const total = shares.reduce((sum, share) => sum + share, 0)
  let remaining = position * total
  const index = shares.findIndex(share => {
    remaining -= share
    return remaining < 0
  })
  return Math.max(0, index)
}

function paidTokensFor (requests: readonly ArrivingRequest[]): ReadonlyMap<string, number> {
  const used = new Map<string, number>()
  for (const req of requests) used.set(req.budget, (used.get(req.budget) ?? 0) + req.used)
  return new Map([...used].sort().map(([budget, tokens], index) => [budget, Math.ceil(tokens * (coverageShares[index % coverageShares.length] ?? 1))]))
}
