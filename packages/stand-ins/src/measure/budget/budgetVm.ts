/**
 * One VM of a budget run. It can be killed or frozen; a frozen VM handles what arrives only after
 * it wakes, while virtual time goes on.
 */
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { BudgetPeers, ConfirmRequest, TransferRequest, RecallRequest } from 'rosemaryspread/budget/budgetPeers.js'
import type { BudgetPort } from 'rosemaryspread/budget/budgetPort.js'
import type { RecoveryRunners } from 'rosemaryspread/budget/budgetRecoveryRuns.js'
import type { VirtualTime } from '../../time/virtualTime.js'

/** Budget accounting of a VM, by the product or by a baseline. */
export interface Spender extends BudgetPort {
  tick (): void
}

/** Dependencies of a spender. */
export interface SpenderDeps {
  readonly holder: string
  readonly domain: string
  readonly store: TableStore
  readonly peers: BudgetPeers
  readonly runners: RecoveryRunners
  readonly clock: Clock
}

/** A VM that can be killed or frozen. */
export class BudgetVm {
  isDead = false
  /** Offset of the wall clock from virtual time. */
  wallOffsetMs = 0
  private monoOffsetMs = 0
  private frozen: { readonly at: number, readonly stopsMono: boolean } | undefined
  private queue: Array<() => void> = []
  readonly clock: Clock = {
    now: () => ({ mono: this.time.mono + this.monoOffsetMs, wall: this.time.mono + this.wallOffsetMs })
  }

  constructor (readonly vm: string, readonly holder: string, readonly domain: string, private readonly time: VirtualTime) {}

  get isServing (): boolean {
    return !this.isDead && this.frozen === undefined
  }

  /**
   * Freezes the VM for some time.
   * @param stopsMono - whether its monotonic clock misses the pause
   */
  freeze (ms: number, stopsMono: boolean): void {
    if (this.frozen !== undefined) return
    this.frozen = { at: this.time.mono, stopsMono }
    this.time.after(ms, () => this.wake())
  }

  /** Resumes a frozen VM. */
  wake (): void {
    if (this.frozen === undefined) return
    if (this.frozen.stopsMono) this.monoOffsetMs -= this.time.mono - this.frozen.at
    this.frozen = undefined
    const { queue } = this
    this.queue = []
    for (const resume of queue) resume()
  }

  /** Resolves with the value as soon as the VM runs; never after it was killed. */
  async whenRunning<T> (value: T): Promise<T> {
    if (this.isDead) return await new Promise<T>(() => {})
    if (this.frozen === undefined) return value
    await new Promise<void>(resolve => this.queue.push(resolve))
    return await this.whenRunning(value)
  }

  /** Wraps a table client so that answers arrive only while the VM runs. */
  guardStore (store: TableStore): TableStore {
    return {
      read: async keys => await this.whenRunning(await store.read(keys)),
      scan: async req => await this.whenRunning(await store.scan(req)),
      transact: async tx => await this.whenRunning(await store.transact(tx))
    }
  }

  /** Wraps a peer client so that answers arrive only while the VM runs. */
  guardPeers (peers: BudgetPeers): BudgetPeers {
    const receive = async <T>(answer: Promise<Either<Failure, T>>): Promise<Either<Failure, T>> => await this.whenRunning(await answer)
    return {
      members: () => peers.members(),
      requestTransfer: async (holder: string, request: TransferRequest) => await receive(peers.requestTransfer(holder, request)),
      recall: async (holder: string, request: RecallRequest) => await receive(peers.recall(holder, request)),
      confirmNoTransfers: async (holder: string, request: ConfirmRequest) => await receive(peers.confirmNoTransfers(holder, request))
    }
  }
}
