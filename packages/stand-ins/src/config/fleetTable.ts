/**
 * The table as one VM of a {@link ConfigFleet} reaches it: with latency, faults, an optional lagging replica, and answers
 * that wait while the VM is frozen.
 */
import { Left, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'
import { TableState } from '../table/tableState.js'

export interface Traffic {
  messages: number
  bytes: number
}

/** A replica that applies commits only when {@link catchUp} is called. */
export class LaggingReplica {
  readonly state: TableState
  #pending: Transaction[] = []

  /** @param primary - must be empty */
  constructor (primary: TableState, now: () => number) {
    this.state = new TableState(now)
    primary.onCommit(rows => {
      const writes = rows.map(({ table, key, value }) => ({ table, key, value }))
      this.#pending.push({ checks: [], writes })
    })
  }

  /** Applies all pending commits. */
  catchUp (): void {
    for (const tx of this.#pending.splice(0)) this.state.transact(tx)
  }
}

export class FleetTable implements TableStore {
  /** While set, reads and scans come from this replica. */
  replica: TableStore | undefined
  /** Whether the VM is cut off from the table. */
  cut = false
  /** Virtual milliseconds after which a call fails while the VM is cut off; 0 if it is refused at once. */
  cutTimeoutMs = 0
  readonly traffic: Traffic = { messages: 0, bytes: 0 }

  /**
   * @param primary - with the faults of this VM
   * @param delayMessage - resolves after the one-way latency of a message, once the VM is not frozen
   * @param sleep - resolves after virtual milliseconds
   */
  constructor (readonly primary: MemoryTableStore, private readonly delayMessage: () => Promise<void>, private readonly sleep: (ms: number) => Promise<void>) {}

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    return await this.#call({ keys }, async () => await (this.replica ?? this.primary).read(keys))
  }

  async scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    return await this.#call(req, async () => await (this.replica ?? this.primary).scan(req))
  }

  async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    return await this.#call(tx, async () => await this.primary.transact(tx))
  }

  async #call<T> (request: unknown, effect: () => Promise<Either<Failure, T>>): Promise<Either<Failure, T>> {
    if (this.cut) {
      if (this.cutTimeoutMs > 0) await this.sleep(this.cutTimeoutMs)
      return Left(new Failure('platformUnavailable', 'simulated loss of the connection to the table', { ran: 'no' }))
    }
    await this.delayMessage()
    const answer = await effect()
    await this.delayMessage()
    this.traffic.messages++
    this.traffic.bytes += JSON.stringify(request).length + JSON.stringify(answer.extract()).length
    return answer
  }
}
