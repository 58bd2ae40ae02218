/**
 * Metrics: every counter, gauge and histogram that a VM serves is an entry of this table. docs/METRICS.md is the catalogue for
 * people; a test compares the two. Refusals are counted by result code and so have one entry for all.
 */
import type { ResultName } from '../codes/resultCodes.js'

/** Counters only grow, gauges show the present value, histograms are durations in milliseconds. */
export type MetricKind = 'counter' | 'gauge' | 'histogram'

/** One entry of the table. */
export interface MetricEntry {
  readonly kind: MetricKind
  /** One line for people: what is counted or shown, with its unit. */
  readonly title: string
}

/** All metrics, by name without the prefix of the product. */
export const metricTable = {
  answers: { kind: 'counter', title: 'Whole answers sent to callers' },
  attempts_failed: { kind: 'counter', title: 'Attempts at a target that did not give a whole answer' },
  refusals: { kind: 'counter', title: 'Requests refused or failed; one counter for each result code, whose name follows' },
  requests_suspected: { kind: 'counter', title: 'Requests that were open at a target when it ended' },
  requests_quarantined: { kind: 'counter', title: 'Requests that are not sent on any more, as targets ended each time they ran' },
  target_answers_leaving: { kind: 'counter', title: 'Answers of targets that said that they are leaving' },
  target_answers_pause: { kind: 'counter', title: 'Answers of targets that asked for a time without requests' },
  target_answers_flawed: { kind: 'counter', title: 'Answers of targets that named a time without requests which cannot be read' },
  front_connections_taken: { kind: 'counter', title: 'Connections taken from callers' },
  front_connections_unused: { kind: 'counter', title: 'Connections of callers that closed before a request came' },
  front_connections_dropped: { kind: 'counter', title: 'Connections of callers closed at once, as there were as many as there may be' },
  front_connections_open: { kind: 'gauge', title: 'Connections of callers that are open' },
  loop_turns: { kind: 'gauge', title: 'Turns that the event loop made since the start' },
  loop_longest_ms: { kind: 'gauge', title: 'Longest time between two ticks of the last seconds, in milliseconds; a tick is due every 50 to 150' },
  memory_bytes: { kind: 'gauge', title: 'Memory of the process that is in use, in bytes' },
  domains_evacuated: { kind: 'gauge', title: 'Failure domains that operators evacuated' },
  targets_paused: { kind: 'gauge', title: 'Targets that asked this VM to wait' },
  first_token_ms: { kind: 'histogram', title: 'From the receipt of a request to its first event, passed on' },
  between_tokens_ms: { kind: 'histogram', title: 'Between two pieces of a streamed answer' },
  total_ms: { kind: 'histogram', title: 'From the receipt of a request to the end of its answer' },
  reserve_wait_ms: { kind: 'histogram', title: 'Waited for tokens' },
  service_call_ms: { kind: 'histogram', title: 'A call to a service, from its receipt to its answer' }
} as const satisfies Record<string, MetricEntry>

/** Names of the entries of one kind. */
type NamesOf<Kind extends MetricKind> = { [Name in keyof typeof metricTable]: (typeof metricTable)[Name]['kind'] extends Kind ? Name : never }[keyof typeof metricTable]

/** Name of a counter. */
export type CounterName = Exclude<NamesOf<'counter'>, 'refusals'> | `refusals_${ResultName}`
/** Name of a gauge. */
export type GaugeName = NamesOf<'gauge'>
/** Name of a histogram. */
export type HistogramName = NamesOf<'histogram'>
