/**
 * Workload of the routing simulation: Poisson arrivals with optional bursts, request classes with a value and a deadline, teams
 * of unequal size, shared prompt prefixes and unequal traffic per VM.
 */

/** A simulated request; times are virtual milliseconds. */
export interface SimRequest {
  readonly id: string
  readonly at: number
  readonly vm: number
  readonly team: string
  readonly prefix: number
  readonly prefixTokens: number
  readonly promptTokens: number
  readonly maxTokens: number
  /** Tokens that the engine will generate; unknown to the policies. */
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

/** Chats, urgent notes, summaries and long drafts, in this order. */
const classes: readonly RequestClass[] = [
  { share: 0.55, freshTokens: 150, maxTokens: 200, patienceMs: 15_000, priority: 1, worth: 2 },
  { share: 0.15, freshTokens: 100, maxTokens: 100, patienceMs: 8_000, priority: 2, worth: 5 },
  { share: 0.2, freshTokens: 900, maxTokens: 300, patienceMs: 30_000, priority: 1, worth: 2 },
  { share: 0.1, freshTokens: 400, maxTokens: 600, patienceMs: 60_000, priority: 0, worth: 1 }
]

/** Relative traffic per VM: callers reuse a resolved address for a while, so one VM receives twice as much as the others. */
const vmTraffic: readonly number[] = [2, 1, 1, 1, 1, 1]

const TEAMS = 10
const PREFIXES = 80

export const PREFIX_TOKENS = 600
const SHORTEST_ANSWER = 0.2
const BURST_FACTOR = 3
const BURST_EVERY_MS = 30_000
const BURST_MS = 5_000

/** Mean value of a request. */
export const meanWorth = classes.reduce((sum, item) => sum + item.share * item.worth, 0)

/**
 * All requests of one run, in order of arrival.
 * @param perSecond - mean arrival rate outside bursts
 * @param untilMs - end of arrivals, virtual milliseconds
 * @param hasBursts - whether the rate triples for five seconds in every thirty
 * @param random - source of numbers in [0, 1)
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

/** Maps a number in [0, 1) to an index by weight. */
function pick (weights: readonly number[], value: number): number {
  let rest = value * weights.reduce((sum, weight) => sum + weight, 0)
  for (let i = 0; i < weights.length; i++) {
    rest -= weights[i] ?? 0
    if (rest < 0) return i
  }
  return weights.length - 1
}

/** Maps a number in [0, 1) to an index below `count`, favouring low ones. */
function skewed (count: number, value: number): number {
  return Math.floor(count * value * value)
}
