/**
 * What a stand-in saw, as records of the history format.
 */
import type { HistoryRecord } from '../history/historyTypes.js'

/** Records in the order in which they happened. */
export class HistoryLog {
  readonly records: HistoryRecord[] = []

  /**
   * Adds a record.
   * @param record - the record with its time
   */
  add (record: HistoryRecord): void {
    this.records.push(record)
  }

  /**
   * The records as JSON lines.
   * @param from - number of records to leave out, for those who read on
   */
  lines (from = 0): string {
    return this.records.slice(from).map(record => `${JSON.stringify(record)}\n`).join('')
  }
}
