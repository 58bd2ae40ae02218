/**
 * Types of test callers. An attempt is a request sent once to one VM.
 */
import type { Outcome } from '../../history/history.js'
import type { RecordOf } from '../../history/historyTypes.js'

/** A request; identical for each attempt. */
export interface RequestSpec {
  readonly team: string
  readonly teamKey: string
  readonly path: string
  readonly body: string
  readonly digest: string
  readonly repeatable: boolean
  readonly idempotencyKey: string | undefined
  /** Request id derived from the idempotency key, the same at every VM. */
  readonly requestId: string | undefined
  readonly timeoutMs: number | undefined
  /** Whether the answer is a stream of server-sent events. */
  readonly streamed: boolean
}

/** A refusal as the caller received it. */
export interface Refusal {
  /** Name of the result code. */
  readonly name: string
  readonly status: number
  readonly ran: 'no' | 'yes' | 'unknown'
  readonly retryAfterMs: number | undefined
}

/** One attempt and its progress. */
export interface Attempt {
  readonly asked: RecordOf<'asked'>
  requestId: string
  pieces: number
  text: string
  refusal: Refusal | undefined
  outcome: Outcome | undefined
}
