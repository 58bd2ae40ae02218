/**
 * Requests of the routing simulation: classes with a worth and a deadline, teams of unequal size,
 * shared prompt prefixes, VMs of unequal traffic; Poisson arrivals, with bursts if asked.
 */

/** One simulated request. Times in milliseconds. */
export interface SimRequest {
  readonly id: string
  readonly at: number
  readonly vm: number
  readonly team: string
  readonly prefix: number
  readonly prefixTokens: number
  readonly promptTokens: number
  readonly maxTokens: number
  /** Tokens it generates in fact; no policy is told. */
  readonly answerTokens: number
  readonly deadline: number
  readonly priority: number
  readonly worth: number
}

interface RequestClass {
  readonly share: number
  readonly freshTokens: number
  readonly maxTokens: number
  readonly patienceMs: number
  readonly priority: number
  readonly worth: number
}

/** Chats, urgent notes, summaries and long drafts. */
const classes: readonly RequestClass[] = [
  { share: 0.55, freshTokens: 150, maxTokens: 200, patienceMs: 15_000, priority: 1, worth: 2 },
  { share: 0.15, freshTokens: 100, maxTokens: 100, patienceMs: 8_000, priority: 2, worth: 5 },
  { share: 0.2, freshTokens: 900, maxTokens: 300, patienceMs: 30_000, priority: 1, worth: 2 },
  { share: 0.1, freshTokens: 400, maxTokens: 600, patienceMs: 60_000, priority: 0, worth: 1 }
]

/** Traffic of the VMs: callers keep an address for a while, so one VM has twice the others'. */
const vmTraffic: readonly number[] = [2, 1, 1, 1, 1, 1]

const TEAMS = 10
const PREFIXES = 80

/** Tokens of a shared prefix. */
export const PREFIX_TOKENS = 600
const SHORTEST_ANSWER = 0.2
const BURST_FACTOR = 3
const BURST_EVERY_MS = 30_000
const BURST_MS = 5_000

/** Mean tokens and worth of a request, to express load. */
export const meanWorth = classes.reduce((sum, item) => sum + item.share * item.worth, 0)

/**
 * All requests of one run, by arrival.
 * @param perSecond - mean arrivals a second outside bursts
 * @param untilMs - end of arrivals
 * @param burst - whether arrivals triple for five seconds in every thirty
 * @param random - seeded source of numbers in [0, 1)
 */
export function makeWorkload (perSecond: number, untilMs: number, burst: boolean, random: () => number): readonly SimRequest[] {
  const requests: SimRequest[] = []
  let at = 0
  while (true) {
    const rate = perSecond * (burst && at % BURST_EVERY_MS > BURST_EVERY_MS - BURST_MS ? BURST_FACTOR : 1)
    at += -Math.log(1 - random()) * 1_000 / rate
    if (at >= untilMs) return requests
    requests.push(makeRequest(requests.length, at, random))
  }
}

function makeRequest (index: number, at: number, random: () => number): SimRequest {
  const kind = classes[pick(classes.map(item => item.share), random())] ?? classes[0]
  if (kind === undefined) throw new Error('no request class')
  const answerShare = SHORTEST_ANSWER + (1 - SHORTEST_ANSWER) * random()
  return {
    id: `q${index}`,
    at,
    vm: pick(vmTraffic, random()),
    team: `team${skewed(TEAMS, random())}`,
    prefix: skewed(PREFIXES, random()),
    prefixTokens: PREFIX_TOKENS,
    promptTokens: PREFIX_TOKENS + kind.freshTokens,
    maxTokens: kind.maxTokens,
    answerTokens: Math.max(2, Math.round(kind.maxTokens * answerShare)),
    deadline: at + kind.patienceMs,
    priority: kind.priority,
    worth: kind.worth
  }
}

/** Index drawn by weights. */
function pick (weights: readonly number[], value: number): number {
  let rest = value * weights.reduce((sum, weight) => sum + weight, 0)
  for (let i = 0; i < weights.length; i++) {
    rest -= weights[i] ?? 0
    if (rest < 0) return i
  }
  return weights.length - 1
}

/** Index from 0 to count - 1; low ones are drawn far more often. */
function skewed (count: number, value: number): number {
  return Math.floor(count * value * value)
}
