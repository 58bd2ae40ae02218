/** Writes to claims that the caller does not wait for, retried until the table accepts them. */
import { failureOf, toFailure, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { DrainState } from '../completion/completionPorts.js'
import type { ClaimRow, ClaimStore, AcquiredClaim } from './serviceClaim.js'

const RETRY_MS = 500
/** After these attempts the write is abandoned; the claim then stays `claimed` and repeats get `unknown`. */
const MAX_ATTEMPTS = 600

export class BackgroundWrites {
  constructor (
    private readonly claims: ClaimStore,
    private readonly work: DrainState,
    private readonly log: EventLog
  ) {}

  /** Marks a claim as certainly not dispatched. */
  abandon (claim: AcquiredClaim): void {
    this.repeat(async () => isComplete(failureOf(await this.claims.abandon(claim))))
  }

  /**
   * Resolves a claim with an unknown outcome, and abandons it if it was written.
   * @param row - the row that may have been written
   */
  abandonIfWritten (row: ClaimRow): void {
    this.repeat(async () => {
      const claimed = await this.claims.find(row)
      if (claimed.isLeft()) return false
      const acquired = claimed.unsafeCoerce()
      if (acquired !== undefined) this.abandon(acquired)
      return true
    })
  }

  /** Stores the answer of a claim for repeats. */
  finish (claim: AcquiredClaim, answer: { status: number, contentType: string, body: Buffer }): void {
    this.repeat(async () => isComplete(failureOf(await this.claims.finish(claim, answer))))
  }

  private repeat (write: () => Promise<boolean>): void {
    const close = this.work.open()
    this.tryUntilDone(write)
      .catch((err: unknown) => { this.log.write('fault', { err: toFailure(err).message }) })
      .finally(close)
  }

  private async tryUntilDone (write: () => Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < MAX_ATTEMPTS; tries += 1) {
      if (await write()) return
      await new Promise(resolve => setTimeout(resolve, RETRY_MS).unref())
    }
  }
}

/** A write is complete when it took effect or when the row belongs to another claim. */
function isComplete (failure: Failure | undefined): boolean {
  return failure === undefined || failure.code === 'platformConflict'
}
