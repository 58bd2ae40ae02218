/**
 * Types of the rules that check a history. A rule checks one promise and is a pure function of the
 * records.
 */
import type { History } from './history.js'
import type { HistoryRecord } from './historyTypes.js'

/** Times within which promises must hold, in milliseconds. */
export interface CheckLimits {
  /** A leaving runner receives no new run after this. */
  readonly leavingGraceMs: number
  /** An accepted configuration version is in force on every reachable VM within this time. */
  readonly configPropagationMs: number
}

/** One violation of a promise. */
export interface Finding {
  readonly text: string
  /** Records that prove it; the last one is where the promise broke. */
  readonly records: readonly HistoryRecord[]
}

export interface HistoryRule {
  readonly name: string
  /** The promise, as one sentence. */
  readonly promise: string
  check (history: History, limits: CheckLimits): readonly Finding[]
}
