/**
 * One ask of a test caller: a request sent once to one VM.
 */
import type { Outcome } from '../../history/history.js'
import type { RecordOf } from '../../history/historyTypes.js'

/** What is sent, the same for each repeat. */
export interface RequestSpec {
  readonly team: string
  readonly teamKey: string
  readonly path: string
  readonly body: string
  readonly digest: string
  readonly repeatable: boolean
  readonly idempotencyKey: string | undefined
  /** The id that a keyed request has at every VM. */
  readonly requestId: string | undefined
  readonly timeoutMs: number | undefined
  /** Whether the answer is a stream of pieces. */
  readonly streamed: boolean
}

/** How a refusal reads. */
export interface Refusal {
  /** Name of the result code. */
  readonly name: string
  readonly status: number
  readonly ran: 'no' | 'yes' | 'unknown'
  readonly retryAfterMs: number | undefined
}

/** One ask and how far it came. */
export interface Ask {
  readonly asked: RecordOf<'asked'>
  requestId: string
  pieces: number
  text: string
  refusal: Refusal | undefined
  outcome: Outcome | undefined
}
