/**
 * One VM of a budget run. It can die, and it can be frozen: then nothing that arrives is taken in
 * until it wakes, while the clocks of the world go on.
 */
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { BudgetPeers, ConfirmRequest, TransferRequest, RecallRequest } from 'rosemaryspread/budget/budgetPeers.js'
import type { BudgetPort } from 'rosemaryspread/budget/budgetPort.js'
import type { RecoveryRunners } from 'rosemaryspread/budget/budgetRecoveryRuns.js'
import type { VirtualTime } from '../../time/virtualTime.js'

/** Budgets of a VM, by the product or by a baseline. */
export interface Spender extends BudgetPort {
  tick (): void
}

/** What a spender is built from. */
export interface SpenderParts {
  readonly holder: string
  readonly domain: string
  readonly store: TableStore
  readonly peers: BudgetPeers
  readonly runners: RecoveryRunners
  readonly clock: Clock
}

/** One VM. */
export class BudgetVm {
  isDead = false
  /** Milliseconds that the wall clock is off. */
  wallOffset = 0
  private monoOffset = 0
  private frozen: { readonly at: number, readonly stopsMono: boolean } | undefined
  private queue: Array<() => void> = []
  readonly clock: Clock = {
    now: () => ({ mono: this.time.mono + this.monoOffset, wall: this.time.mono + this.wallOffset })
  }

  constructor (readonly vm: string, readonly holder: string, readonly domain: string, private readonly time: VirtualTime) {}

  get isServing (): boolean {
    return !this.isDead && this.frozen === undefined
  }

  /**
   * Stops the VM for a while.
   * @param ms - how long
   * @param stopsMono - whether its monotonic clock misses the pause
   */
  freeze (ms: number, stopsMono: boolean): void {
    if (this.frozen !== undefined) return
    this.frozen = { at: this.time.mono, stopsMono }
    this.time.after(ms, () => this.wake())
  }

  /** Lets a frozen VM go on. */
  wake (): void {
    if (this.frozen === undefined) return
    if (this.frozen.stopsMono) this.monoOffset -= this.time.mono - this.frozen.at
    this.frozen = undefined
    const { queue } = this
    this.queue = []
    for (const run of queue) run()
  }

  /**
   * Resolves when the VM can take something in; never once it is dead.
   * @param value - passed on
   */
  async take<T> (value: T): Promise<T> {
    if (this.isDead) return await new Promise<T>(() => {})
    if (this.frozen === undefined) return value
    await new Promise<void>(resolve => this.queue.push(resolve))
    return await this.take(value)
  }

  /**
   * A table whose answers this VM takes in only while it runs.
   * @param store - the table as reached over the network
   */
  guardStore (store: TableStore): TableStore {
    return {
      read: async keys => await this.take(await store.read(keys)),
      scan: async req => await this.take(await store.scan(req)),
      transact: async tx => await this.take(await store.transact(tx))
    }
  }

  /**
   * Peers whose answers this VM takes in only while it runs.
   * @param peers - the peers as reached over the network
   */
  guardPeers (peers: BudgetPeers): BudgetPeers {
    const take = async <T>(answer: Promise<Either<Failure, T>>): Promise<Either<Failure, T>> => await this.take(await answer)
    return {
      members: () => peers.members(),
      requestTransfer: async (holder: string, ask: TransferRequest) => await take(peers.requestTransfer(holder, ask)),
      recall: async (holder: string, ask: RecallRequest) => await take(peers.recall(holder, ask)),
      confirmNoTransfers: async (holder: string, ask: ConfirmRequest) => await take(peers.confirmNoTransfers(holder, ask))
    }
  }
}
