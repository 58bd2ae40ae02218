/**
 * HTTP API of the table stand-in.
 */
import * as z from 'zod'
import { rowKeySchema, transactionSchema } from '@rosemaryspread/infra/table/tableTypes.js'
import { HistoryLog } from '../control/historyLog.js'
import type { HttpAnswer, HttpRequest, HttpRoute } from '../control/httpTypes.js'
import type { StandInDefinition } from '../control/standIn.js'
import { TableHistory } from './tableHistory.js'
import { TableState } from './tableState.js'

const readSchema = z.strictObject({ keys: z.array(rowKeySchema) })
const scanSchema = z.strictObject({ table: z.string(), prefix: z.string(), after: z.string().optional(), limit: z.number().int().positive() })
const writeSchema = transactionSchema.refine(
  ({ writes }) => writes.every(({ value }) => value !== undefined),
  'every write needs a value, or null to delete the row'
)

/** Counters since the start of the process. */
interface TableCounts {
  reads: number
  scans: number
  transactions: number
  conflicts: number
  rowsRead: number
  rowsWritten: number
}

class TableService {
  readonly counts: TableCounts = { reads: 0, scans: 0, transactions: 0, conflicts: 0, rowsRead: 0, rowsWritten: 0 }

  constructor (private readonly state: TableState) {}

  read (req: HttpRequest): HttpAnswer {
    const { keys } = req.json(readSchema)
    this.counts.reads++
    this.counts.rowsRead += keys.length
    return { status: 200, body: this.state.read(keys) }
  }

  scan (req: HttpRequest): HttpAnswer {
    const answer = this.state.scan(req.json(scanSchema))
    this.counts.scans++
    this.counts.rowsRead += answer.rows.length
    return { status: 200, body: answer }
  }

  transact (req: HttpRequest): HttpAnswer {
    const tx = req.json(writeSchema)
    return this.state.transact(tx).caseOf<HttpAnswer>({
      Left: conflicts => {
        this.counts.conflicts++
        return { status: 409, body: { conflicts } }
      },
      Right: body => {
        this.counts.transactions++
        this.counts.rowsWritten += tx.writes.length
        return { status: 200, body, effect: true }
      }
    })
  }

  routes (): readonly HttpRoute[] {
    return [
      { method: 'POST', pattern: /^\/table\/read$/, serve: req => this.read(req) },
      { method: 'POST', pattern: /^\/table\/scan$/, serve: req => this.scan(req) },
      { method: 'POST', pattern: /^\/table\/transact$/, serve: req => this.transact(req) }
    ]
  }
}

/** Creates a table service without rows. */
export function tableDefinition (): StandInDefinition {
  const state = new TableState()
  const history = new HistoryLog()
  const tableHistory = new TableHistory(history)
  state.onCommit(rows => tableHistory.recordRows(rows))
  const service = new TableService(state)
  return {
    routes: service.routes(),
    history,
    state: () => ({ counts: service.counts, rows: state.rowCounts() }),
    controlRoutes: [{
      method: 'GET',
      pattern: /^\/control\/rows$/,
      serve: req => ({ status: 200, body: { rows: state.all(req.url.searchParams.get('table') ?? '') } })
    }]
  }
}
