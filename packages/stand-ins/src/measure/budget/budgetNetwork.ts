/**
 * Simulated network between VMs, table and engines in virtual time, with latencies, partitions of
 * failure domains, table outages and lost messages.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import type { TableState } from '../../table/tableState.js'
import type { VirtualTime } from '../../time/virtualTime.js'

/** One-way latencies in milliseconds. */
export interface Latencies {
  readonly betweenDomains: number
  readonly table: number
}

/** Timeout of a call without an answer. */
const CALL_TIMEOUT_MS = 1_000

/** Faults in force. */
export class NetworkFaults {
  /** Failure domains partitioned from the table and from all other domains. */
  readonly cut = new Set<string>()
  outage = false
  /** Share of answers lost after the call took effect, 0 to 1. */
  lostAnswerShare = 0
  /** Share of requests lost before the call took effect, 0 to 1. */
  lostRequestShare = 0
  /** Upper bound of the random delay added to each table call. */
  slowMs = 0

  /** Whether two failure domains reach each other. */
  connects (a: string, b: string): boolean {
    return a === b || !(this.cut.has(a) || this.cut.has(b))
  }
}

/** Table client of one VM. */
export class RemoteTable implements TableStore {
  writes = 0

  /**
   * @param domain - failure domain of the VM
   * @param random - numbers from 0 to 1
   */
  constructor (
    private readonly state: TableState,
    private readonly domain: string,
    private readonly time: VirtualTime,
    private readonly faults: NetworkFaults,
    private readonly latencies: Latencies,
    private readonly random: () => number
  ) {}

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    return await this.call(() => Right(this.state.read(keys)), false)
  }

  async scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    return await this.call(() => Right(this.state.scan(req)), false)
  }

  async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    const sent = structuredClone(tx)
    return await this.call(() => {
      this.writes += 1
      return this.state.transact(sent).mapLeft(() => new Failure('platformConflict', 'a row changed', { ran: 'no' }))
    }, true)
  }

  private async call<T> (effect: () => Either<Failure, T>, isWrite: boolean): Promise<Either<Failure, T>> {
    await this.time.sleep(this.latencies.table + this.faults.slowMs * this.random())
    if (this.isDown) {
      await this.time.sleep(this.faults.outage ? this.latencies.table : CALL_TIMEOUT_MS)
      return Left(new Failure('platformUnavailable', 'the table cannot be reached', { ran: 'no' }))
    }
    if (this.random() < this.faults.lostRequestShare) return await this.lost(isWrite)
    const answer = effect()
    await this.time.sleep(this.latencies.table)
    if (this.isDown || this.random() < this.faults.lostAnswerShare) return await this.lost(isWrite)
    return answer
  }

  private get isDown (): boolean {
    return this.faults.outage || this.faults.cut.has(this.domain)
  }

  private async lost<T> (isWrite: boolean): Promise<Either<Failure, T>> {
    await this.time.sleep(CALL_TIMEOUT_MS)
    return Left(isWrite
      ? new Failure('platformOutcomeUnknown', 'the answer was lost', { ran: 'unknown' })
      : new Failure('platformUnavailable', 'the answer was lost', { ran: 'no' }))
  }
}

/** Calls between VMs, and from VMs to engines. */
export class PeerNetwork {
  constructor (
    private readonly time: VirtualTime,
    private readonly faults: NetworkFaults,
    private readonly latencies: Latencies,
    private readonly random: () => number
  ) {}

  /**
   * Delivers a call and returns its answer.
   * @param from - failure domain of the caller
   * @param to - failure domain of the callee
   * @param handler - executes the call; `undefined` when the callee is down
   */
  async call<T> (from: string, to: string, handler: (() => Promise<T>) | undefined): Promise<Either<Failure, T>> {
    await this.time.sleep(this.latency(from, to))
    if (handler === undefined || !this.faults.connects(from, to) || this.random() < this.faults.lostRequestShare) return await this.failAfterTimeout()
    const answer = await Promise.race([handler().then(value => ({ value })), this.time.sleep(CALL_TIMEOUT_MS).then(() => undefined)])
    if (answer === undefined) return Left(unreachableFailure())
    await this.time.sleep(this.latency(from, to))
    if (!this.faults.connects(from, to) || this.random() < this.faults.lostAnswerShare) return await this.failAfterTimeout()
    return Right(structuredClone(answer.value))
  }

  private latency (from: string, to: string): number {
    return from === to ? this.latencies.betweenDomains / 2 : this.latencies.betweenDomains
  }

  private async failAfterTimeout<T> (): Promise<Either<Failure, T>> {
    await this.time.sleep(CALL_TIMEOUT_MS)
    return Left(unreachableFailure())
  }
}

function unreachableFailure (): Failure {
  return new Failure('peerUnreachable', 'the VM cannot be reached', { ran: 'unknown' })
}
