/**
 * Tracks for each service whether this VM can connect to its targets. A single target without a connection has probably terminated. If no
 * target accepts a connection, this VM has lost its path to the service, or all targets are down; only other VMs can tell which.
 */

/** Time for which a failed connection attempt counts as evidence. */
const FAILURE_TTL_MS = 1_000
/** Targets that are probed at most to decide on a large service. */
const MAX_EVIDENCE = 16
/** Failed targets from which on the path is in doubt; a single one has often terminated. */
const MIN_DOUBTFUL_FAILURES = 2
/** Targets probed first; they suffice if one of them accepts the connection. */
const FIRST_PROBES = 2

interface ServicePath {
  /** When connections to targets failed, in monotonic milliseconds by target id. */
  readonly failures: Map<string, number>
  isLost: boolean
}

/** Paths of one VM to the targets of all services. Times are monotonic milliseconds. */
export class ServicePaths {
  private readonly paths = new Map<string, ServicePath>()

  /** Services to which the path is lost. */
  get lost (): readonly string[] {
    return [...this.paths].filter(([, { isLost }]) => isLost).map(([service]) => service)
  }

  isLost (service: string): boolean {
    return this.paths.get(service)?.isLost === true
  }

  /**
   * Records that a target accepted a connection.
   * @returns whether this ends the loss of the path
   */
  recordConnected (service: string): boolean {
    const path = this.paths.get(service)
    this.paths.delete(service)
    return path?.isLost === true
  }

  /** Records that no connection to a target could be made. */
  recordFailed (service: string, target: string, mono: number): void {
    const path = this.paths.get(service) ?? { failures: new Map<string, number>(), isLost: false }
    this.paths.set(service, path)
    path.failures.set(target, mono)
  }

  /**
   * Targets to probe next, none if the evidence suffices.
   * @param listed - ids of the targets of the service
   * @param random - a number in [0, 1), selects the targets
   */
  toProbe (service: string, listed: readonly string[], mono: number, random: number): readonly string[] {
    const failed = this.failedOf(service, listed, mono)
    const missing = Math.min(listed.length, MAX_EVIDENCE) - failed.length
    const untried = rotated(listed.filter(id => !failed.includes(id)), random)
    return untried.slice(0, Math.max(0, failed.length < FIRST_PROBES ? Math.min(missing, FIRST_PROBES) : missing))
  }

  /** Whether connections to more than one target failed, or to the only one. */
  isDoubtful (service: string, listed: readonly string[], mono: number): boolean {
    return this.failedOf(service, listed, mono).length >= Math.min(listed.length, MIN_DOUBTFUL_FAILURES)
  }

  /**
   * Concludes from the recorded failures whether the path is lost.
   * @returns whether this begins the loss of the path
   */
  conclude (service: string, listed: readonly string[], mono: number): boolean {
    const path = this.paths.get(service)
    if (path === undefined || path.isLost || listed.length === 0) return false
    path.isLost = this.failedOf(service, listed, mono).length >= Math.min(listed.length, MAX_EVIDENCE)
    return path.isLost
  }

  private failedOf (service: string, listed: readonly string[], mono: number): readonly string[] {
    const failures = this.paths.get(service)?.failures
    return listed.filter(id => mono - (failures?.get(id) ?? -Infinity) <= FAILURE_TTL_MS)
  }
}

/**
 * The elements in their order, beginning at a random one.
 * @param random - a number in [0, 1)
 */
export function rotated<T> (elements: readonly T[], random: number): readonly T[] {
  const start = Math.floor(random * elements.length)
  return [...elements.slice(start), ...elements.slice(0, start)]
}
