/**
 * Register of holders: one row for each process that may hold tokens, by failure domain. Recovery reads it, because
 * membership alone may have missed a process.
 */
import { Right, type Either } from 'purify-ts'
import { elapsedMs, type Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { budgetTables, holderKey, holdingKey, allotmentKey } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { holderRowSchema, holdingRowSchema, placeRowSchema } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { RowSet } from '@rosemaryspread/decisions/budget/rowSet.js'
import type { PlacedHolder, RegisteredHolder } from '@rosemaryspread/decisions/budget/recoveryRules.js'
import { drawKeys } from '@rosemaryspread/decisions/budget/budgetPlans.js'
import { planAllotmentRemoval } from '@rosemaryspread/decisions/budget/recoveryPlan.js'
import type { Row } from '@rosemaryspread/infra/table/tableTypes.js'
import { scanAll } from './budgetSurvey.js'
import type { BudgetTable } from './budgetTable.js'

/** Milliseconds between two checks that the row of this holder still exists. */
const REGISTRATION_CHECK_MS = 300_000
/** Milliseconds by which the table's clock may be ahead of the local estimate, after a slow answer. */
const CLOCK_MARGIN_MS = 100
/** Budgets of a holder removed in one transaction. */
const MAX_BUDGETS_PER_REMOVAL = 200

export interface HolderAtVersion extends RegisteredHolder {
  readonly version: number
}

/** A closed allotment and the version at which it was read; `null` when the row is removed already. */
export interface ClosedAllotment {
  readonly budget: string
  readonly version: number | null
}

/** The holder of this process. */
export interface LocalHolder {
  readonly holder: string
  readonly domain: string
  /** Name of the addresses it listens on; without it, a later process on them proves nothing about this one. */
  readonly place?: string | undefined
  /** Monotonic milliseconds of the start of this process; absent where its clock does not provide it. */
  readonly processStartedAt?: number | undefined
}

/** Registers this holder and lists the others. */
export class BudgetRegistry {
  private isRegistering = false
  private registered = false
  private registeredAt: Instant | undefined

  constructor (private readonly table: BudgetTable, private readonly self: LocalHolder) {}

  /** Whether the row of this holder is durable; it must not accept transfers before. */
  get isRegistered (): boolean {
    return this.registered
  }

  /** Registers this holder, or checks that its row still exists, unless that is done or in progress. */
  async register (): Promise<void> {
    if (this.isRegistering || (this.registered && !this.isCheckDue)) return
    this.isRegistering = true
    const { holder, domain } = this.self
    const key = holderKey(domain, holder)
    const keys = [{ table: budgetTables.holders, key }, { table: budgetTables.places, key: holder }]
    const requestedAt = this.table.now()
    const done = await this.table.run('register', keys, rows => {
      if (rows.version(budgetTables.holders, key) !== null && this.hasPlaceRow(rows)) return Right({ kind: 'done' })
      rows.set(budgetTables.holders, key, { holder, domain })
      if (!this.hasPlaceRow(rows)) rows.set(budgetTables.places, holder, { holder, place: this.self.place, ...this.begunBy(requestedAt) })
      return Right({ kind: 'write' })
    })
    this.isRegistering = false
    done.ifRight(({ sentAt }) => {
      this.registered = true
      this.registeredAt = sentAt
    })
  }

  /**
   * Upper bound of the start of this process on the table's clock. The table's time in an answer is not earlier than the
   * request, so the time from the start of this process to the request can be subtracted from it.
   */
  private begunBy (requestedAt: Instant): { readonly begunBy?: number } {
    const { processStartedAt: startedAtMono } = this.self
    if (startedAtMono === undefined) return {}
    const sinceRequestMs = this.table.now().mono - requestedAt.mono
    return { begunBy: Math.ceil(this.table.tableNow + sinceRequestMs + CLOCK_MARGIN_MS - (this.table.now().mono - startedAtMono)) }
  }

  private hasPlaceRow (rows: RowSet): boolean {
    return this.self.place === undefined || rows.version(budgetTables.places, this.self.holder) !== null
  }

  private get isCheckDue (): boolean {
    return this.registeredAt === undefined || elapsedMs(this.registeredAt, this.table.now()) > REGISTRATION_CHECK_MS
  }

  /** Makes this holder register again: it was considered terminated and its row may have been removed. */
  markUnregistered (): void {
    this.registered = false
  }

  /** Removes this holder and its empty allotments after it has drained. */
  async retire (): Promise<void> {
    const { holder, domain } = this.self
    const holderRow = { table: budgetTables.holders, key: holderKey(domain, holder) }
    const before = await this.table.store.read([holderRow])
    const budgets = await this.listBudgets(holder)
    if (before.isLeft() || budgets.isLeft()) return
    for (const budget of budgets.orDefault([])) {
      const done = await this.table.run(`retire/${budget}`, drawKeys(holder, budget), rows => planAllotmentRemoval(rows, budget, holder))
      if (done.map(({ plan }) => plan.kind).orDefault('notEmpty') === 'notEmpty') return
    }
    // A new allotment row for this holder rewrites its register row too, so the version check keeps the row then.
    const version = before.unsafeCoerce().rows[0]?.version ?? null
    await this.table.store.transact({ checks: [{ ...holderRow, version }], writes: [{ ...holderRow, value: null }, { table: budgetTables.places, key: holder, value: null }] })
  }

  /** All registered holders of all failure domains. */
  async all (): Promise<Either<Failure, readonly HolderAtVersion[]>> {
    const scan = await scanAll(this.table.store, budgetTables.holders, '').run()
    return scan.map(({ rows }) => rows.map(row => ({ ...holderRowSchema.parse(row.value), registeredAt: row.updatedAt, version: row.version })))
  }

  /** All holders that registered where they listen. */
  async listPlaces (): Promise<Either<Failure, readonly PlacedHolder[]>> {
    const scan = await scanAll(this.table.store, budgetTables.places, '').run()
    return scan.map(({ rows }) => rows.map(placedHolder))
  }

  /** Budgets for which a holder has an allotment row. */
  async listBudgets (holder: string): Promise<Either<Failure, readonly string[]>> {
    const scan = await scanAll(this.table.store, budgetTables.holdings, `${holder}/`).run()
    return scan.map(({ rows }) => rows.map(row => holdingRowSchema.parse(row.value).budget))
  }

  /**
   * Removes a terminated holder whose allotments are all closed, unless any of its rows has changed.
   * @param item - the holder as scanned
   */
  async remove (item: HolderAtVersion, closed: readonly ClosedAllotment[]): Promise<void> {
    const { holder, domain, version } = item
    const batch = closed.slice(0, MAX_BUDGETS_PER_REMOVAL)
    const holderRow = { table: budgetTables.holders, key: holderKey(domain, holder) }
    const allotments = batch.map(({ budget, version }) => ({ table: budgetTables.allotments, key: allotmentKey(budget, holder), version }))
    const removed = [
      ...allotments.map(({ table, key }) => ({ table, key })),
      ...batch.map(({ budget }) => ({ table: budgetTables.holdings, key: holdingKey(holder, budget) })),
      ...(batch.length < closed.length ? [] : [holderRow, { table: budgetTables.places, key: holder }])
    ]
    await this.table.store.transact({
      checks: [{ ...holderRow, version }, ...allotments.filter(row => row.version !== null)],
      writes: removed.map(row => ({ ...row, value: null }))
    })
  }
}

function placedHolder ({ value, updatedAt }: Row): PlacedHolder {
  const { holder, place, begunBy } = placeRowSchema.parse(value)
  return { holder, place, since: Math.min(updatedAt, begunBy ?? updatedAt) }
}
