/**
 * Events observed by a stand-in, as history records.
 */
import type { HistoryRecord } from '../history/historyTypes.js'

/** Records in order of time. */
export class HistoryLog {
  readonly records: HistoryRecord[] = []

  add (record: HistoryRecord): void {
    this.records.push(record)
  }

  /**
   * The records as JSON lines.
   * @param from - number of records to skip, for incremental reads
   */
  lines (from = 0): string {
    return this.records.slice(from).map(record => `${JSON.stringify(record)}\n`).join('')
  }
}
