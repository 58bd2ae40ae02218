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
  readonly value: number
}

interface RequestClass {
  readonly share: number
  readonly uniquePromptTokens: number
  readonly maxTokens: number
  readonly deadlineMs: number
  readonly priority: number
  readonly value: number
}

/** Chats, urgent notes, summaries and long drafts, in this order. */
const classes: readonly RequestClass[] = [
  { share: 0.55, uniquePromptTokens: 150, maxTokens: 200, deadlineMs: 15_000, priority: 1, value: 2 },
  { share: 0.15, uniquePromptTokens: 100, maxTokens: 100, deadlineMs: 8_000, priority: 2, value: 5 },
  { share: 0.2, uniquePromptTokens: 900, maxTokens: 300, deadlineMs: 30_000, priority: 1, value: 2 },
  { share: 0.1, uniquePromptTokens: 400, maxTokens: 600, deadlineMs: 60_000, priority: 0, value: 1 }
]

/** Relative traffic per VM: callers reuse a resolved address for a while, so one VM receives twice as much as the others. */
const vmTraffic: readonly number[] = [2, 1, 1, 1, 1, 1]

const TEAMS = 10
const PREFIXES = 80

export const PREFIX_TOKENS = 600
const MIN_ANSWER_SHARE = 0.2
const BURST_FACTOR = 3
const BURST_INTERVAL_MS = 30_000
const BURST_MS = 5_000

/** Mean value of a request. */
export const meanValue = classes.reduce((sum, item) => sum + item.share * item.value, 0)

/**
 * All requests of one run, in order of arrival.
 * @param perSecond - mean arrival rate outside bursts
 * @param untilMs - end of arrivals, virtual milliseconds
 * @param hasBursts - whether the rate triples for five seconds in every thirty
 * @param random - source of numbers in [0, 1)
 */
export function createWorkload (perSecond: number, untilMs: number, hasBursts: boolean, random: () => number): readonly SimRequest[] {
  const requests: SimRequest[] = []
  let at = 0
  while (true) {
    const rate = perSecond * (hasBursts && at % BURST_INTERVAL_MS > BURST_INTERVAL_MS - BURST_MS ? BURST_FACTOR : 1)
    at += -Math.log(1 - random()) * 1_000 / rate
    if (at >= untilMs) return requests
    requests.push(createRequest(requests.length, at, random))
  }
}

function createRequest (index: number, at: number, random: () => number): SimRequest {
  const requestClass = classes[pickWeighted(classes.map(item => item.share), random())] ?? classes[0]
  if (requestClass === undefined) throw new Error('no request class')
  const answerShare = MIN_ANSWER_SHARE + (1 - MIN_ANSWER_SHARE) * random()
  return {
    id: `q${index}`,
    at,
    vm: pickWeighted(vmTraffic, random()),
    team: `team${skewedIndex(TEAMS, random())}`,
    prefix: skewedIndex(PREFIXES, random()),
    prefixTokens: PREFIX_TOKENS,
    promptTokens: PREFIX_TOKENS + requestClass.uniquePromptTokens,
    maxTokens: requestClass.maxTokens,
    answerTokens: Math.max(2, Math.round(requestClass.maxTokens * answerShare)),
    deadline: at + requestClass.deadlineMs,
    priority: requestClass.priority,
    value: requestClass.value
  }
}

/** Maps a number in [0, 1) to an index by weight. */
function pickWeighted (weights: readonly number[], value: number): number {
  let remaining = value * weights.reduce((sum, weight) => sum + weight, 0)
  for (let i = 0; i < weights.length; i++) {
    remaining -= weights[i] ?? 0
    if (remaining < 0) return i
  }
  return weights.length - 1
}

/** Maps a number in [0, 1) to an index below `count`, favouring low ones. */
function skewedIndex (count: number, value: number): number {
  return Math.floor(count * value * value)
}
