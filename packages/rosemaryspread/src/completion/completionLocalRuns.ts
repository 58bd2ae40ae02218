/**
 * Keyed requests in progress on this VM. A second request with the same id waits until the first
 * has started its run and then joins it, or starts one itself when the first ended without a run.
 */
import type { RunnerAddress } from './completionUnsettled.js'

/** Permission of one request to proceed with its id. */
export interface RunTurn {
  /** Runner of the run to join; absent when this request has to start it. */
  readonly runningAt?: RunnerAddress
  started (runner: RunnerAddress): void
  leave (): void
}

/** A run that is being started or is in progress. */
interface LocalRun {
  readonly digest: string
  readonly startedRunner: Promise<RunnerAddress | undefined>
}

/** Serializes keyed requests by request id. */
export class LocalRuns {
  private readonly runs = new Map<string, LocalRun>()

  /**
   * Waits until the request may start or join a run.
   * @param digest - digest of the request body
   * @returns the turn, or `otherBody` when the run in progress has a different body
   */
  async waitForTurn (requestId: string, digest: string): Promise<RunTurn | 'otherBody'> {
    for (;;) {
      const running = this.runs.get(requestId)
      if (running === undefined) return this.open(requestId, digest)
      if (running.digest !== digest) return 'otherBody'
      const runningAt = await running.startedRunner
      if (runningAt !== undefined) return { runningAt, started: () => {}, leave: () => {} }
    }
  }

  private open (requestId: string, digest: string): RunTurn {
    let resolveRunner: (runner: RunnerAddress | undefined) => void = () => {}
    const run: LocalRun = { digest, startedRunner: new Promise(resolve => { resolveRunner = resolve }) }
    this.runs.set(requestId, run)
    return {
      started: runner => { resolveRunner(runner) },
      leave: () => {
        this.runs.delete(requestId)
        resolveRunner(undefined)
      }
    }
  }
}
