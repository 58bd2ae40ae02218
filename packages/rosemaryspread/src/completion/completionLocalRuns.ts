/**
 * Keyed requests in progress on this VM. A second request with the same id waits until the first
 * has started its run and then joins it, or takes its place when the first never started.
 */
import type { RunnerAddress } from './completionUnsettled.js'

/** One request's turn with an id. */
export interface LocalTurn {
  /** Where the run of an earlier request goes on; absent when this request has to start it. */
  readonly runningAt?: RunnerAddress
  started (runner: RunnerAddress): void
  leave (): void
}

/** A run being started or going on. */
interface LocalRun {
  readonly digest: string
  readonly decided: Promise<RunnerAddress | undefined>
}

/** Requests in progress by request id. */
export class LocalRuns {
  private readonly runs = new Map<string, LocalRun>()

  /**
   * Waits for the turn of a request.
   * @param requestId - id of a keyed request
   * @param digest - digest of its body
   * @returns the turn, or that the run in progress has another body
   */
  async enter (requestId: string, digest: string): Promise<LocalTurn | 'otherBody'> {
    for (;;) {
      const running = this.runs.get(requestId)
      if (running === undefined) return this.open(requestId, digest)
      if (running.digest !== digest) return 'otherBody'
      const runningAt = await running.decided
      if (runningAt !== undefined) return { runningAt, started: () => {}, leave: () => {} }
    }
  }

  private open (requestId: string, digest: string): LocalTurn {
    let decide: (runner: RunnerAddress | undefined) => void = () => {}
    const run: LocalRun = { digest, decided: new Promise(resolve => { decide = resolve }) }
    this.runs.set(requestId, run)
    return {
      started: runner => { decide(runner) },
      leave: () => {
        this.runs.delete(requestId)
        decide(undefined)
      }
    }
  }
}
