/**
 * A rule judges one promise over a history. Rules are pure: they see records only.
 */
import type { History } from './history.js'
import type { HistoryRecord } from './historyTypes.js'

/** Times within which promises must hold, in milliseconds. */
export interface CheckLimits {
  /** A leaving runner gets no new run after this. */
  readonly leavingGraceMs: number
  /** An accepted configuration version is in force on every reachable VM within this. */
  readonly configSpreadMs: number
}

/** One way in which a promise was broken. */
export interface Finding {
  readonly text: string
  /** The records that show it, the last one being where it broke. */
  readonly records: readonly HistoryRecord[]
}

/** One rule. */
export interface HistoryRule {
  readonly name: string
  /** The promise, as one sentence. */
  readonly promise: string
  check (history: History, limits: CheckLimits): readonly Finding[]
}
