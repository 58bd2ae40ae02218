/**
 * Maintains the lease of one role in the table service. Code that acts in the role checks `mayAct`
 * after every wait and adds `leaseCheck` to every transaction.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { LeaseManager } from '@rosemaryspread/decisions/lease/leaseManager.js'
import { defaultLeaseLimits, FENCE_TABLE, fenceRowSchema, LEASE_TABLE, leaseRowSchema, type LeaseAction, type LeaseEvent, type LeaseLimits, type LeaseWriteOutcome, type ReadLease } from '@rosemaryspread/decisions/lease/leaseTypes.js'
import type { HolderId } from '@rosemaryspread/decisions/names/nameTypes.js'
import type { ReadAnswer, Row, RowCheck, TableStore, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'

/** Tick interval; shorter than any period of the lease manager. */
const TICK_MS = 250
/** Ticks between two calls of `isCandidate`. */
const CANDIDATE_CHECK_TICKS = 4

export interface LeaseDriverOptions {
  readonly role: string
  readonly holder: HolderId
  readonly table: TableStore
  readonly clock: Clock
  readonly log: EventLog
  /** Whether this process should try to hold the role, by the current state of the fleet. */
  readonly isCandidate: () => boolean
  /** Called when the lease is acquired and when it is lost. */
  readonly onChange?: (holds: boolean) => void
  readonly limits?: LeaseLimits
}

/** Executes the actions of a {@link LeaseManager} for one role. */
export class LeaseDriver {
  private readonly manager: LeaseManager
  private timer: NodeJS.Timeout | undefined
  private ticks = 0
  private resolveReleased: () => void = () => {}
  private readonly released = new Promise<void>(resolve => { this.resolveReleased = resolve })

  constructor (private readonly options: LeaseDriverOptions) {
    this.manager = new LeaseManager(options.role, options.holder, options.limits ?? defaultLeaseLimits)
  }

  /** Starts trying to acquire the role. */
  start (): void {
    this.timer = setInterval(() => {
      this.tick().catch((err: unknown) => this.options.log.write('fault', { err }))
    }, TICK_MS)
  }

  /** Advances the lease to the current time; resolves when every call that it started has ended. */
  async tick (): Promise<void> {
    if (this.ticks % CANDIDATE_CHECK_TICKS === 0) await this.dispatch({ kind: 'candidate', wanted: this.options.isCandidate() })
    this.ticks += 1
    await this.dispatch({ kind: 'tick' })
  }

  /** Stops without releasing the lease, which then expires. */
  stop (): void {
    clearInterval(this.timer)
  }

  /** Whether this process may act in the role now. Must be checked again after every wait. */
  mayAct (): boolean {
    return this.manager.mayAct(this.now())
  }

  /** Fencing token for calls to external systems; fails with `leaseLost` when the role is not held. */
  fencing (): Either<Failure, number> {
    const fencing = this.manager.fencing()
    return fencing !== undefined && this.mayAct() ? Right(fencing) : Left(this.lost())
  }

  /** Row check that makes a transaction fail once the lease is lost; fails with `leaseLost` when the role is not held. */
  leaseCheck (): Either<Failure, RowCheck> {
    const check = this.manager.leaseCheck(this.now())
    return check === undefined ? Left(this.lost()) : Right(check)
  }

  /**
   * Runs a transaction under the lease. Fails as the table does, or with `leaseLost`; after a failure
   * of the table the lease is read again.
   * @param tx - checks and writes, without the check of the lease
   */
  async transact (tx: Transaction): ReturnType<TableStore['transact']> {
    const check = this.leaseCheck()
    if (check.isLeft()) return check
    const checks = [...tx.checks, check.extract() as RowCheck]
    const answer = await this.options.table.transact({ checks, writes: tx.writes })
    if (answer.isLeft()) this.dispatch({ kind: 'recheck' }).catch((err: unknown) => this.options.log.write('fault', { err }))
    return answer
  }

  /** Releases the role; resolves when it is available to others or the lease has expired. */
  async release (): Promise<void> {
    await this.dispatch({ kind: 'release' })
    await this.released
    this.stop()
  }

  private async dispatch (event: LeaseEvent): Promise<void> {
    const actions = this.manager.handle(event, this.now())
    for (const action of actions) await this.execute(action)
  }

  private async execute (action: LeaseAction): Promise<void> {
    const { log, role } = this.options
    switch (action.kind) {
      case 'read': return await this.dispatch(await this.read())
      case 'write': return await this.dispatch({ kind: 'writeAnswered', outcome: await this.write(action) })
      case 'taken':
        log.write('leaseTaken', { role, fencing: action.fencing })
        return this.options.onChange?.(true)
      case 'lost':
        log.write('leaseLost', { role, fencing: action.fencing })
        return this.options.onChange?.(false)
      case 'released':
        return this.resolveReleased()
    }
  }

  private async read (): Promise<LeaseEvent> {
    const { role, table } = this.options
    const answer = await table.read([{ table: LEASE_TABLE, key: role }, { table: FENCE_TABLE, key: role }])
    return answer.caseOf<LeaseEvent>({
      Left: err => {
        this.fault('read', err)
        return { kind: 'readFailed' }
      },
      Right: value => this.parseRead(value)
    })
  }

  /** Malformed rows are treated as a failure of the table, so that they are not overwritten. */
  private parseRead (answer: ReadAnswer): LeaseEvent {
    try {
      return { kind: 'readAnswered', read: parseLease(answer) }
    } catch (err) {
      this.options.log.write('fault', { err, role: this.options.role })
      return { kind: 'readFailed' }
    }
  }

  private async write ({ checks, writes }: Extract<LeaseAction, { kind: 'write' }>): Promise<LeaseWriteOutcome> {
    const answer = await this.options.table.transact({ checks: [...checks], writes: [...writes] })
    return answer.caseOf<LeaseWriteOutcome>({
      Left: err => this.toWriteOutcome(err),
      Right: ({ version }) => ({ kind: 'written', version })
    })
  }

  private toWriteOutcome (err: Failure): LeaseWriteOutcome {
    if (err.code === 'platformConflict') return { kind: 'conflict' }
    this.fault('transact', err)
    return { kind: err.code === 'platformUnavailable' ? 'unavailable' : 'unknown' }
  }

  private fault (operation: string, err: Failure): void {
    this.options.log.write('platformFault', { service: 'table', operation, code: err.code })
  }

  private lost (): Failure {
    return new Failure('leaseLost', `this process does not hold the lease of role ${this.options.role}`, { ran: 'no' })
  }

  private now (): Instant {
    return this.options.clock.now()
  }
}

function parseLease ({ rows: [leaseRow = null, fenceRow = null], now }: ReadAnswer): ReadLease {
  return {
    lease: leaseRow === null ? null : { row: leaseRowSchema.parse(leaseRow.value), version: leaseRow.version, ageMs: now - leaseRow.updatedAt },
    fence: parseFence(fenceRow)
  }
}

function parseFence (row: Row | null): ReadLease['fence'] {
  return row === null ? null : { row: fenceRowSchema.parse(row.value), version: row.version }
}
