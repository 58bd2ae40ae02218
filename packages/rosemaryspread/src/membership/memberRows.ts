/**
 * Reads and writes the rows `vms/<vm>` of the table service.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { MEMBER_TABLE, memberRowSchema, type MemberEvent, type MemberRow, type LocalWriteOutcome, type StoredMember } from '@rosemaryspread/decisions/membership/memberTypes.js'
import type { Row, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

const SCAN_PAGE_ROWS = 500

export class MemberRows {
  constructor (private readonly table: TableStore, private readonly log: EventLog) {}

  /** All rows, or undefined when a read failed. */
  async scan (): Promise<readonly StoredMember[] | undefined> {
    const found: StoredMember[] = []
    let after: string | undefined
    do {
      const page = await this.table.scan({ table: MEMBER_TABLE, prefix: '', limit: SCAN_PAGE_ROWS, ...(after === undefined ? {} : { after }) })
      const answer = page.caseOf({ Left: err => this.fault('scan', err), Right: value => value })
      if (answer === undefined) return undefined
      found.push(...parseRows(answer.rows, answer.now))
      after = answer.next
    } while (after !== undefined)
    return found
  }

  /** The rows of some VMs, or undefined when the read failed. */
  async read (vms: readonly string[]): Promise<readonly StoredMember[] | undefined> {
    const answer = await this.table.read(vms.map(vm => ({ table: MEMBER_TABLE, key: vm })))
    return answer.caseOf<readonly StoredMember[] | undefined>({
      Left: err => this.fault('read', err),
      Right: ({ rows, now }) => parseRows(rows, now)
    })
  }

  /** Reads the row of this VM; returns the event for the membership table. */
  async readLocalRow (vm: string): Promise<MemberEvent> {
    const answer = await this.table.read([{ table: MEMBER_TABLE, key: vm }])
    return answer.caseOf<MemberEvent>({
      Left: err => {
        this.fault('read', err)
        return { kind: 'localRowReadFailed' }
      },
      Right: ({ rows: [row] }) => ({ kind: 'localRowRead', found: row == null ? null : { holder: holderOfRow(row), version: row.version } })
    })
  }

  /**
   * Writes the row of this VM if its version is unchanged.
   * @param version - last known version; null when there is no row
   */
  async writeLocalRow (row: MemberRow, version: number | null): Promise<LocalWriteOutcome> {
    const key = { table: MEMBER_TABLE, key: row.vm }
    const answer = await this.table.transact({ checks: [{ ...key, version }], writes: [{ ...key, value: row }] })
    return answer.caseOf<LocalWriteOutcome>({
      Left: err => this.toWriteOutcome(err),
      Right: written => ({ kind: 'written', version: written.version })
    })
  }

  /**
   * Deletes the row of a VM if its version is unchanged; a failure is logged and left to a later attempt.
   * @param version - last known version
   */
  async deleteRow (vm: string, version: number): Promise<void> {
    const key = { table: MEMBER_TABLE, key: vm }
    const answer = await this.table.transact({ checks: [{ ...key, version }], writes: [{ ...key, value: null }] })
    answer.ifLeft(err => this.toWriteOutcome(err))
  }

  private toWriteOutcome (err: Failure): LocalWriteOutcome {
    if (err.code === 'platformConflict') return { kind: 'conflict' }
    this.fault('transact', err)
    return { kind: err.code === 'platformUnavailable' ? 'unavailable' : 'unknown' }
  }

  private fault (operation: string, err: Failure): undefined {
    this.log.write('platformFault', { service: 'table', operation, code: err.code })
  }
}

function parseRows (rows: readonly (Row | null)[], now: number): readonly StoredMember[] {
  return rows.flatMap(row => {
    const parsed = memberRowSchema.safeParse(row?.value)
    if (row === null || !parsed.success) return []
    return { row: parsed.data, version: row.version, ageMs: Math.max(0, now - row.updatedAt) }
  })
}

/** Holder in a row; empty when the row is malformed. */
function holderOfRow (row: Row): string {
  const parsed = memberRowSchema.safeParse(row.value)
  return parsed.success ? parsed.data.holder : ''
}
