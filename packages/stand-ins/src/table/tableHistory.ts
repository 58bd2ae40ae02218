/**
 * Derives history records of budgets, claims, versions and leases from committed rows. Only the new content of a row
 * is recorded: rewriting a row without change adds nothing, deleting and recreating it does.
 */
import * as z from 'zod'
import type { Row } from '@rosemaryspread/infra/table/tableTypes.js'
import { segmentRowSchema, topUpRowSchema } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { HistoryLog } from '../control/historyLog.js'
import type { HistoryRecord } from '../history/historyTypes.js'

const claimSchema = z.object({ requestId: z.string().optional(), holder: z.string() })
const configSchema = z.object({ version: z.number(), patchId: z.string() })
const leaseSchema = z.object({ holder: z.string(), fencing: z.number(), role: z.string().optional() })
const fencedSchema = z.object({ holder: z.string(), fencing: z.number(), role: z.string() })

type Reader = (row: Row) => HistoryRecord[]

const readers: Readonly<Record<string, Reader>> = {
  topups: createReader(topUpRowSchema, ({ budget, operationId, tokens }, at) => [{ kind: 'paid', at, budget, operationId, tokens }]),
  segments: createReader(segmentRowSchema, ({ holder, bills }, at) =>
    bills.map(({ requestId, budget, tokens }) => ({ kind: 'billed', at, requestId, budget, tokens, holder }))),
  claims: createReader(claimSchema, ({ requestId, holder }, at, key) => [{ kind: 'claimed', at, requestId: requestId ?? key, holder }]),
  configs: createReader(configSchema, ({ version, patchId }, at) => [{ kind: 'configAccepted', at, version, patchId }]),
  leases: createReader(leaseSchema, ({ holder, fencing, role }, at, key) => [{ kind: 'leaseTaken', at, role: role ?? key, holder, fencing }])
}
const readFencedWrite = createReader(fencedSchema, ({ holder, fencing, role }, at) => [{ kind: 'leaseWrite', at, role, holder, fencing }])

function createReader<T> (schema: z.ZodType<T>, records: (value: T, at: number, key: string) => HistoryRecord[]): Reader {
  return row => {
    const checked = schema.safeParse(row.value)
    return checked.success ? records(checked.data, row.updatedAt, row.key) : []
  }
}

/** Turns commits into history records. */
export class TableHistory {
  /** Records derived from the last write of each row, by `<table>/<key>`. */
  private readonly lastRecords = new Map<string, ReadonlySet<string>>()

  constructor (private readonly log: HistoryLog) {}

  /**
   * Records the rows of one committed transaction.
   * @param rows - rows as written; the value `null` deletes the row
   */
  recordRows (rows: readonly Row[]): void {
    for (const row of rows) {
      const readRow = readers[row.table]
      if (readRow === undefined) for (const record of readFencedWrite(row)) this.log.add(record)
      else this.addNewRecords(row, readRow(row))
    }
  }

  private addNewRecords (row: Row, records: readonly HistoryRecord[]): void {
    const name = `${row.table}/${row.key}`
    const previous = this.lastRecords.get(name)
    for (const record of records) if (previous?.has(contentKey(record)) !== true) this.log.add(record)
    if (row.value === null) this.lastRecords.delete(name)
    else this.lastRecords.set(name, new Set(records.map(contentKey)))
  }
}

/** Identifies a record, regardless of its time. */
function contentKey (record: HistoryRecord): string {
  return JSON.stringify({ ...record, at: 0 })
}
