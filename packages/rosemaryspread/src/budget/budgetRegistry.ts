/**
 * The register of holders: one row for each process that may hold tokens, by failure domain.
 * Recovery reads it, because membership alone may have missed a process.
 */
import { Right, type Either } from 'purify-ts'
import { elapsedMs, type Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { budgetTables, holderKey, holdingKey, allotmentKey } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { holderRowSchema, holdingRowSchema, placeRowSchema } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { RowSet } from '@rosemaryspread/decisions/budget/rowSet.js'
import type { PlacedHolder, RegisteredHolder } from '@rosemaryspread/decisions/budget/recoveryRules.js'
import { drawKeys } from '@rosemaryspread/decisions/budget/budgetPlans.js'
import { planRetire } from '@rosemaryspread/decisions/budget/recoveryPlan.js'
import type { Row } from '@rosemaryspread/infra/table/tableTypes.js'
import { scanAll } from './budgetSharing.js'
import type { BudgetTable } from './budgetTable.js'

/** Milliseconds between two looks whether the own row is still there. */
const CHECK_MS = 300_000
/** Milliseconds by which the table's clock may be ahead of what this process believes, after an answer that was slow. */
const CLOCK_MARGIN_MS = 100
/** Budgets of a holder removed in one transaction. */
const MAX_REMOVED = 200

/** A register row as scanned. */
export interface HolderAtVersion extends RegisteredHolder {
  readonly version: number
}

/** A closed allotment at the version at which it was seen closed; `null` when the row is gone already. */
export interface ClosedAllotment {
  readonly budget: string
  readonly version: number | null
}

/** Who registers. */
export interface HolderSelf {
  readonly holder: string
  readonly domain: string
  /** Name of the addresses it listens on; without it its successor proves nothing. */
  readonly place?: string | undefined
  /** Monotonic milliseconds at which this process had begun; absent where its clock does not tell. */
  readonly begunAt?: number | undefined
}

/** Registers this holder and finds the others. */
export class BudgetRegistry {
  private registering = false
  private registered = false
  private registeredAt: Instant | undefined

  constructor (private readonly table: BudgetTable, private readonly self: HolderSelf) {}

  /** Whether the row of this holder is durable; before, it must not take transfers. */
  get isRegistered (): boolean {
    return this.registered
  }

  /** Registers this holder, or looks whether its row is still there, unless that is done or under way. */
  async register (): Promise<void> {
    if (this.registering || (this.registered && !this.isCheckDue)) return
    this.registering = true
    const { holder, domain } = this.self
    const key = holderKey(domain, holder)
    const keys = [{ table: budgetTables.holders, key }, { table: budgetTables.places, key: holder }]
    const askedAt = this.table.now()
    const done = await this.table.run('register', keys, rows => {
      if (rows.version(budgetTables.holders, key) !== null && this.isPlaced(rows)) return Right({ kind: 'done' })
      rows.set(budgetTables.holders, key, { holder, domain })
      if (!this.isPlaced(rows)) rows.set(budgetTables.places, holder, { holder, place: this.self.place, ...this.begunBy(askedAt) })
      return Right({ kind: 'write' })
    })
    this.registering = false
    done.ifRight(({ sentAt }) => {
      this.registered = true
      this.registeredAt = sentAt
    })
  }

  /**
   * By the table's clock. An answer tells a time that is not before the question was asked, so the
   * time from the beginning of this process to the question can be taken off it.
   */
  private begunBy (askedAt: Instant): { readonly begunBy?: number } {
    const { begunAt } = this.self
    if (begunAt === undefined) return {}
    const sinceAskedMs = this.table.now().mono - askedAt.mono
    return { begunBy: Math.ceil(this.table.tableNow + sinceAskedMs + CLOCK_MARGIN_MS - (this.table.now().mono - begunAt)) }
  }

  private isPlaced (rows: RowSet): boolean {
    return this.self.place === undefined || rows.version(budgetTables.places, this.self.holder) !== null
  }

  private get isCheckDue (): boolean {
    return this.registeredAt === undefined || elapsedMs(this.registeredAt, this.table.now()) > CHECK_MS
  }

  /** This holder was taken for ended and may have been removed; it registers again. */
  forget (): void {
    this.registered = false
  }

  /** Removes this holder and its empty allotments after it drained. */
  async retire (): Promise<void> {
    const { holder, domain } = this.self
    const own = { table: budgetTables.holders, key: holderKey(domain, holder) }
    const before = await this.table.store.read([own])
    const budgets = await this.budgetsOf(holder)
    if (before.isLeft() || budgets.isLeft()) return
    for (const budget of budgets.orDefault([])) {
      const done = await this.table.run(`retire/${budget}`, drawKeys(holder, budget), rows => planRetire(rows, budget, holder))
      if (done.map(({ plan }) => plan.kind).orDefault('kept') === 'kept') return
    }
    // Whoever gives this holder a new allotment row writes its register row again, and then it stays.
    const version = before.unsafeCoerce().rows[0]?.version ?? null
    await this.table.store.transact({ checks: [{ ...own, version }], writes: [{ ...own, value: null }, { table: budgetTables.places, key: holder, value: null }] })
  }

  /** All registered holders. */
  async all (): Promise<Either<Failure, readonly HolderAtVersion[]>> {
    const scan = await scanAll(this.table.store, budgetTables.holders, '').run()
    return scan.map(({ rows }) => rows.map(row => ({ ...holderRowSchema.parse(row.value), registeredAt: row.updatedAt, version: row.version })))
  }

  /** All holders that told where they listen. */
  async places (): Promise<Either<Failure, readonly PlacedHolder[]>> {
    const scan = await scanAll(this.table.store, budgetTables.places, '').run()
    return scan.map(({ rows }) => rows.map(placedHolder))
  }

  /**
   * Budgets of which a holder has an allotment row.
   * @param holder - holder id
   */
  async budgetsOf (holder: string): Promise<Either<Failure, readonly string[]>> {
    const scan = await scanAll(this.table.store, budgetTables.holdings, `${holder}/`).run()
    return scan.map(({ rows }) => rows.map(row => holdingRowSchema.parse(row.value).budget))
  }

  /**
   * Forgets an ended holder whose allotments are all closed, unless any of its rows changed since.
   * @param item - the holder as scanned
   * @param closed - its closed allotments
   */
  async remove (item: HolderAtVersion, closed: readonly ClosedAllotment[]): Promise<void> {
    const { holder, domain, version } = item
    const part = closed.slice(0, MAX_REMOVED)
    const own = { table: budgetTables.holders, key: holderKey(domain, holder) }
    const allotments = part.map(({ budget, version }) => ({ table: budgetTables.allotments, key: allotmentKey(budget, holder), version }))
    const removed = [
      ...allotments.map(({ table, key }) => ({ table, key })),
      ...part.map(({ budget }) => ({ table: budgetTables.holdings, key: holdingKey(holder, budget) })),
      ...(part.length < closed.length ? [] : [own, { table: budgetTables.places, key: holder }])
    ]
    await this.table.store.transact({
      checks: [{ ...own, version }, ...allotments.filter(row => row.version !== null)],
      writes: removed.map(row => ({ ...row, value: null }))
    })
  }
}

function placedHolder ({ value, updatedAt }: Row): PlacedHolder {
  const { holder, place, begunBy } = placeRowSchema.parse(value)
  return { holder, place, since: Math.min(updatedAt, begunBy ?? updatedAt) }
}
