/**
 * Moves old segments from the table to the object store, one block at a time. A block is deleted from the table only
 * after the object store has confirmed that it is stored whole, in one transaction that checks every row. A fault thus
 * leaves the block in the table, in the object store or in both, and the next pass repeats it with the same name and
 * bytes. Concurrent passes of several VMs are safe.
 */
import { Right, type Either } from 'purify-ts'
import { isArchivable, nextBlock, BLOCK_SEGMENTS, type BillBlock, type SegmentAtVersion } from '@rosemaryspread/decisions/budget/billBlocks.js'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ObjectStore } from '@rosemaryspread/infra/objects/objectTypes.js'
import type { Row, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

/** Steps of one pass; a step skips a holder or archives a block. */
const STEPS_PER_PASS = 600

export interface ArchiveParts {
  readonly store: TableStore
  readonly objects: Pick<ObjectStore, 'put'>
  readonly log: EventLog
}

/** Archives the bills of all holders. */
export class BillArchive {
  /** Key after which the next pass continues; undefined at the start of the table. */
  private after: string | undefined
  private isRunning = false

  /** @param steps - upper bound of steps in one pass */
  constructor (private readonly parts: ArchiveParts, private readonly steps: number = STEPS_PER_PASS) {}

  /** Runs one pass, at most to the end of the table. Passes don't overlap, and a failure ends the pass. */
  async pass (): Promise<void> {
    if (this.isRunning) return
    this.isRunning = true
    try {
      for (let step = 0; step < this.steps; step++) {
        const isMoreLeft = await this.step()
        isMoreLeft.ifLeft(failure => { this.report(failure) })
        if (!isMoreLeft.orDefault(false)) return
      }
    } finally {
      this.isRunning = false
    }
  }

  /** Archives one block or skips to the next holder. Returns whether there is more to do. */
  private async step (): Promise<Either<Failure, boolean>> {
    const after = this.after === undefined ? {} : { after: this.after }
    const scan = await this.parts.store.scan({ table: budgetTables.segments, prefix: '', limit: 1, ...after })
    return await scan.caseOf<Promise<Either<Failure, boolean>>>({
      Left: async () => scan.map(() => false),
      Right: async ({ rows, now }) => {
        const oldest = rows[0]
        if (oldest === undefined) return this.restart()
        return isArchivable(oldest, now) ? await this.archiveOldestBlock(oldest) : this.skipHolder(oldest)
      }
    })
  }

  private async archiveOldestBlock (oldest: Row): Promise<Either<Failure, boolean>> {
    const prefix = `${holderOf(oldest)}/`
    const scan = await this.parts.store.scan({ table: budgetTables.segments, prefix, limit: BLOCK_SEGMENTS + 1 })
    const found = scan.map(({ rows, now }) => nextBlock(rows, now))
    const block = found.toMaybe().chain(value => value).extract()
    if (block === undefined) return found.chain(() => this.skipHolder(oldest))
    return await this.archive(block)
  }

  private async archive (block: BillBlock): Promise<Either<Failure, boolean>> {
    const put = await this.parts.objects.put(block.name, Buffer.from(block.content))
    if (put.isLeft()) return put.map(() => false)
    const done = await this.parts.store.transact({
      checks: block.segments.map(({ key, version }) => ({ table: budgetTables.segments, key, version })),
      writes: block.segments.map(({ key }) => ({ table: budgetTables.segments, key, value: null }))
    })
    done.ifRight(() => { this.parts.log.write('billsArchived', { object: block.name, segments: block.segments.length }) })
    // On a conflict another VM archived these segments first; the next step scans what is left.
    return done.map(() => true).chainLeft(failure => failure.code === 'platformConflict' ? Right(true) : done.map(() => true))
  }

  private skipHolder (segment: SegmentAtVersion): Either<Failure, boolean> {
    // '0' follows '/' in key order: this skips all keys of the holder and none of any other.
    this.after = `${holderOf(segment)}0`
    return Right(true)
  }

  private restart (): Either<Failure, boolean> {
    this.after = undefined
    return Right(false)
  }

  private report (failure: Failure): void {
    this.parts.log.write('budgetFault', { operation: 'archive', code: failure.code, detail: failure.message })
  }
}

function holderOf ({ key }: SegmentAtVersion): string {
  return key.split('/', 1)[0] ?? key
}
