/**
 * Table of metrics: every counter, gauge and histogram that a VM serves. docs/METRICS.md is generated from this table, and a test
 * compares the two. Refusals are counted per result code under one entry, and per proof that they were not executed under another.
 */
import type { CloseReason } from '../clients/closeReason.js'
import type { ResultName } from '../codes/resultCodes.js'
import type { ExecutionProof } from '../gateway/executionProof.js'

/** Counters only grow, gauges show the current value, histograms hold durations in milliseconds. */
export type MetricKind = 'counter' | 'gauge' | 'histogram'

export interface MetricEntry {
  readonly kind: MetricKind
  /** One line for operators: what is counted or shown, with its unit. */
  readonly title: string
}

/** All metrics, by name without the product prefix. */
export const metricTable = {
  answers: { kind: 'counter', title: 'Complete responses sent to callers' },
  attempts_failed: { kind: 'counter', title: 'Attempts at a target without a complete response' },
  refusals: { kind: 'counter', title: 'Requests refused or failed; one counter for each result code, with its name as suffix' },
  refusals_proven: { kind: 'counter', title: 'Requests refused as not executed; one counter for each proof, with its name as suffix: notSent, notConnected, rejected, replaced or notRelayed' },
  refusals_after_attempts: { kind: 'counter', title: 'Requests refused as not executed after at least one attempt at a target' },
  claims_unproven: { kind: 'counter', title: 'Failures that say that a request was not executed although an attempt may have been' },
  clients_closed: { kind: 'counter', title: 'Connections of clients that a server closed; one counter for each reason, with its name as suffix: sentAhead (more requests sent ahead than the limits allow), waited (no whole head of a request while others needed the place), idle (between two requests while others needed the place) or noPlace (new while all places were in use)' },
  requests_suspected: { kind: 'counter', title: 'Requests that were open at a target when it terminated' },
  requests_quarantined: { kind: 'counter', title: 'Requests quarantined because targets terminated each time they were executed' },
  tokens_billed: { kind: 'counter', title: 'Tokens billed for responses that callers received, completely or in part' },
  tokens_assumed_spent: { kind: 'counter', title: 'Tokens billed because a terminated VM may have used them without a report; one series for each budget' },
  target_answers_leaving: { kind: 'counter', title: 'Responses of targets that reported that they are leaving' },
  target_answers_pause: { kind: 'counter', title: 'Responses of targets that requested a pause' },
  target_answers_flawed: { kind: 'counter', title: 'Responses of targets with a pause that could not be parsed' },
  calls_relayed: { kind: 'counter', title: 'Requests given to another VM to send, as this one has lost its path to the targets' },
  calls_relayed_for_others: { kind: 'counter', title: 'Requests sent to targets for other VMs' },
  admission_waits: { kind: 'counter', title: 'Requests that waited for their turn, as their service was limited under load' },
  front_connections_taken: { kind: 'counter', title: 'Connections accepted from callers' },
  front_connections_unused: { kind: 'counter', title: 'Connections of callers closed before their first request' },
  front_connections_dropped: { kind: 'counter', title: 'Connections of callers closed at once because the limit of open connections was reached' },
  connections_forwarded: { kind: 'counter', title: 'Connections of callers forwarded to another VM' },
  connections_forward_failed: { kind: 'counter', title: 'Connections served here as the VM to which they were to be forwarded did not accept them' },
  connections_received_forwarded: { kind: 'counter', title: 'Connections that other VMs forwarded here' },
  forwarding_share: { kind: 'gauge', title: 'Share of new connections that are forwarded to other VMs, 0 to 1' },
  forwarded_connections_open: { kind: 'gauge', title: 'Open connections forwarded to other VMs' },
  front_connections_open: { kind: 'gauge', title: 'Open connections of callers' },
  loop_turns: { kind: 'gauge', title: 'Turns of the event loop since the start' },
  loop_longest_ms: { kind: 'gauge', title: 'Longest time between two ticks in the last seconds, in milliseconds; a tick is due every 50 to 150' },
  memory_bytes: { kind: 'gauge', title: 'Memory in use by the process, in bytes' },
  requests_ahead: { kind: 'gauge', title: 'Open requests that clients sent ahead: before the answer to an earlier one of the same connection' },
  calls_open: { kind: 'gauge', title: 'Requests of callers that this VM has open; beyond its share of descriptors they are refused with callsFull' },
  request_head_bytes: { kind: 'gauge', title: 'Bytes of the heads of requests whose answers have not left the process' },
  request_head_bound_bytes: { kind: 'gauge', title: 'Bound of request_head_bytes; requests beyond it are refused with headsFull' },
  request_body_bytes: { kind: 'gauge', title: 'Bytes of bodies of requests that are held, or counted by their declared length' },
  request_body_bound_bytes: { kind: 'gauge', title: 'Bound of request_body_bytes; requests beyond it are refused with bodiesFull' },
  answer_buffer_bytes: { kind: 'gauge', title: 'Bytes of answers that are buffered until their callers have received them' },
  admission_waiting: { kind: 'gauge', title: 'Requests that wait for their turn under load' },
  admission_limit: { kind: 'gauge', title: 'Lowest limit of a service on requests in flight before their first output; 0 while none is limited' },
  domains_evacuated: { kind: 'gauge', title: 'Failure domains evacuated by operators' },
  services_unreachable: { kind: 'gauge', title: 'Services none of whose targets this VM can connect to' },
  targets_ejected: { kind: 'gauge', title: 'Targets that get no requests of this VM for a time, as it could not connect to them or they failed' },
  vms_advertised: { kind: 'gauge', title: 'VMs that this VM advertises to a caller of its own failure domain' },
  targets_paused: { kind: 'gauge', title: 'Targets whose requested pause has not ended' },
  config_version: { kind: 'gauge', title: 'Version of the configuration in force; 0 before the first one' },
  store_feed_age_ms: { kind: 'gauge', title: 'Longest time since a change feed of the store was answered, in milliseconds' },
  admission_wait_ms: { kind: 'histogram', title: 'Time spent waiting for a turn under load' },
  first_token_ms: { kind: 'histogram', title: 'Time from the receipt of a request until its first event is relayed' },
  between_tokens_ms: { kind: 'histogram', title: 'Time between two pieces of a streamed response' },
  total_ms: { kind: 'histogram', title: 'Time from the receipt of a request to the end of its response' },
  reserve_wait_ms: { kind: 'histogram', title: 'Time spent waiting for tokens' },
  service_call_ms: { kind: 'histogram', title: 'Time from the receipt of a service call to its response' }
} as const satisfies Record<string, MetricEntry>

/** Names of the metrics of one kind. */
type NamesOf<Kind extends MetricKind> = { [Name in keyof typeof metricTable]: (typeof metricTable)[Name]['kind'] extends Kind ? Name : never }[keyof typeof metricTable]

export type CounterName = Exclude<NamesOf<'counter'>, 'refusals' | 'refusals_proven' | 'clients_closed'> | `clients_closed_${CloseReason}` | `refusals_${ResultName}` | `refusals_proven_${ExecutionProof}`
export type GaugeName = NamesOf<'gauge'>
export type HistogramName = NamesOf<'histogram'>
