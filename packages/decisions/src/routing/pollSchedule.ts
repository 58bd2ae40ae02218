/**
 * Which runners a VM asks for their load, and when. The calls of a VM are bounded whatever the
 * number of runners, and fewer the more VMs ask: the engines answer all of them. Runners that the
 * VM sends requests to come first; for the others an old report does.
 */

/** Load calls that the whole fleet makes in a second, as long as each VM may make the least. */
const FLEET_CALLS_PER_SECOND = 12
/** Bounds of the calls of one VM in a second. */
const MOST_CALLS_PER_SECOND = 2
const LEAST_CALLS_PER_SECOND = 0.25
/** Times by which the age of a report counts more for a runner in use. */
const USED_WEIGHT = 8
const SECOND_MS = 1_000

/** One runner to be asked. */
export interface DueRunner {
  readonly runner: string
  /** Whether this VM sent it a request since its cache events were asked for. */
  readonly isUsed: boolean
}

/**
 * Calls that one VM may make in a second.
 * @param vms - VMs of the fleet
 */
export function callsPerSecond (vms: number): number {
  return Math.min(MOST_CALLS_PER_SECOND, Math.max(LEAST_CALLS_PER_SECOND, FLEET_CALLS_PER_SECOND / Math.max(1, vms)))
}

/** Plans the calls of one VM. */
export class PollSchedule {
  private readonly askedAt = new Map<string, number>()
  private readonly used = new Set<string>()
  private credit = 1
  private lastMono: number | undefined

  /**
   * @param leastMs - milliseconds between two calls to one runner at least
   */
  constructor (private readonly leastMs: number) {}

  /**
   * Notes that a request was sent to a runner.
   * @param runner - its id
   */
  use (runner: string): void {
    this.used.add(runner)
  }

  /**
   * The runners to ask now.
   * @param watched - ids of the runners that the VM watches
   * @param vms - VMs of the fleet
   * @param mono - monotonic milliseconds
   */
  due (watched: readonly string[], vms: number, mono: number): readonly DueRunner[] {
    this.earn(vms, mono)
    this.forget(watched)
    if (this.credit < 1) return []
    const ranked = watched
      .filter(runner => this.ageMs(runner, mono) >= this.leastMs)
      .sort((a, b) => this.urgency(b, mono) - this.urgency(a, mono))
    const calls = Math.min(ranked.length, Math.floor(this.credit))
    this.credit -= calls
    return ranked.slice(0, calls).map(runner => this.ask(runner, mono))
  }

  private earn (vms: number, mono: number): void {
    const passedMs = mono - (this.lastMono ?? mono)
    this.lastMono = mono
    this.credit = Math.min(MOST_CALLS_PER_SECOND, this.credit + callsPerSecond(vms) * passedMs / SECOND_MS)
  }

  private ask (runner: string, mono: number): DueRunner {
    const isUsed = this.used.delete(runner)
    this.askedAt.set(runner, mono)
    return { runner, isUsed }
  }

  private urgency (runner: string, mono: number): number {
    return this.ageMs(runner, mono) * (this.used.has(runner) ? USED_WEIGHT : 1)
  }

  /** A runner that was never asked is older than any other. */
  private ageMs (runner: string, mono: number): number {
    return mono - (this.askedAt.get(runner) ?? -Number.MAX_SAFE_INTEGER)
  }

  private forget (watched: readonly string[]): void {
    if (this.askedAt.size <= watched.length) return
    const known = new Set(watched)
    for (const runner of this.askedAt.keys()) if (!known.has(runner)) this.askedAt.delete(runner)
  }
}
