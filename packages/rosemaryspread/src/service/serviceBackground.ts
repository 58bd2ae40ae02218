/**
 * Writes about claims that the caller does not wait for, tried again until the table takes them.
 */
import { failureOf, toFailure, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { DrainState } from '../completion/completionPorts.js'
import type { ClaimRow, ClaimStore, HeldClaim } from './serviceClaim.js'

/** Milliseconds between two tries. */
const RETRY_MS = 500
/** Tries before a write is given up; the claim then stays `claimed` and repeats are told `unknown`. */
const MAX_TRIES = 600

/** Carries out claim writes in the background. */
export class BackgroundWrites {
  constructor (
    private readonly claims: ClaimStore,
    private readonly work: DrainState,
    private readonly log: EventLog
  ) {}

  /**
   * Marks a claim as certainly not dispatched.
   * @param claim - a held claim
   */
  abandon (claim: HeldClaim): void {
    this.repeat(async () => isSettled(failureOf(await this.claims.abandon(claim))))
  }

  /**
   * Finds out whether a claim with an unknown outcome was written, and abandons it if so.
   * @param row - the row that may have been written
   */
  abandonIfOurs (row: ClaimRow): void {
    this.repeat(async () => {
      const claimed = await this.claims.find(row)
      if (claimed.isLeft()) return false
      const held = claimed.unsafeCoerce()
      if (held !== undefined) this.abandon(held)
      return true
    })
  }

  /**
   * Keeps the answer of a claim for repeats.
   * @param claim - a held claim
   * @param answer - the whole answer
   */
  finish (claim: HeldClaim, answer: { status: number, contentType: string, body: Buffer }): void {
    this.repeat(async () => isSettled(failureOf(await this.claims.finish(claim, answer))))
  }

  private repeat (write: () => Promise<boolean>): void {
    const close = this.work.open()
    this.tryUntilDone(write)
      .catch((err: unknown) => { this.log.write('fault', { err: toFailure(err).message }) })
      .finally(close)
  }

  private async tryUntilDone (write: () => Promise<boolean>): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      if (await write()) return
      await new Promise(resolve => setTimeout(resolve, RETRY_MS).unref())
    }
  }
}

/** A write is over when it took effect or when the row is no longer ours. */
function isSettled (failure: Failure | undefined): boolean {
  return failure === undefined || failure.code === 'platformConflict'
}
