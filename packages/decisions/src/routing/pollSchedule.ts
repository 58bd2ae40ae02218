/**
 * Schedules the load polls of one VM. The poll rate is bounded whatever the number of runners and
 * falls with the number of VMs, because the engines answer all of them. Runners in use come first;
 * for the others an older report suffices.
 */

/** Load calls of the whole fleet, unless the minimum rate per VM adds up to more. */
const FLEET_CALLS_PER_SECOND = 12
const MAX_CALLS_PER_SECOND = 2
const MIN_CALLS_PER_SECOND = 0.25
/** Factor on the report age of a runner in use. */
const USED_RUNNER_WEIGHT = 8
const SECOND_MS = 1_000

export interface DueRunner {
  readonly runner: string
  /** Whether this VM sent it a request since its last poll. */
  readonly isUsed: boolean
}

/**
 * Load calls per second allowed for one VM.
 * @param vms - number of VMs in the fleet
 */
export function callsPerSecond (vms: number): number {
  return Math.min(MAX_CALLS_PER_SECOND, Math.max(MIN_CALLS_PER_SECOND, FLEET_CALLS_PER_SECOND / Math.max(1, vms)))
}

export class PollSchedule {
  private readonly polledAt = new Map<string, number>()
  private readonly used = new Set<string>()
  private credit = 1
  private lastMono: number | undefined

  /**
   * @param minIntervalMs - minimum time between two calls to one runner
   */
  constructor (private readonly minIntervalMs: number) {}

  /** Records that a request was sent to a runner. */
  markUsed (runner: string): void {
    this.used.add(runner)
  }

  /**
   * Returns the runners to poll now.
   * @param watched - ids of the runners that the VM watches
   * @param vms - number of VMs in the fleet
   * @param mono - current monotonic time in milliseconds
   */
  due (watched: readonly string[], vms: number, mono: number): readonly DueRunner[] {
    this.refillCredit(vms, mono)
    this.dropUnwatched(watched)
    if (this.credit < 1) return []
    const ranked = watched
      .filter(runner => this.ageMs(runner, mono) >= this.minIntervalMs)
      .sort((a, b) => this.urgency(b, mono) - this.urgency(a, mono))
    const calls = Math.min(ranked.length, Math.floor(this.credit))
    this.credit -= calls
    return ranked.slice(0, calls).map(runner => this.ask(runner, mono))
  }

  private refillCredit (vms: number, mono: number): void {
    const elapsedMs = mono - (this.lastMono ?? mono)
    this.lastMono = mono
    this.credit = Math.min(MAX_CALLS_PER_SECOND, this.credit + callsPerSecond(vms) * elapsedMs / SECOND_MS)
  }

  private ask (runner: string, mono: number): DueRunner {
    const isUsed = this.used.delete(runner)
    this.polledAt.set(runner, mono)
    return { runner, isUsed }
  }

  private urgency (runner: string, mono: number): number {
    return this.ageMs(runner, mono) * (this.used.has(runner) ? USED_RUNNER_WEIGHT : 1)
  }

  /** A runner that was never polled counts as older than any other. */
  private ageMs (runner: string, mono: number): number {
    return mono - (this.polledAt.get(runner) ?? -Number.MAX_SAFE_INTEGER)
  }

  private dropUnwatched (watched: readonly string[]): void {
    if (this.polledAt.size <= watched.length) return
    const current = new Set(watched)
    for (const runner of this.polledAt.keys()) if (!current.has(runner)) this.polledAt.delete(runner)
  }
}
