/**
 * Software versions of the targets that the register lists, by service, as one VM observed them. What served before this VM started is known from the
 * store only.
 */
import { versionOf, type TargetView } from '../gateway/targetSet.js'
import type { ServiceVersions } from './streamTypes.js'

/** History of the versions as one VM observed it. Times are monotonic milliseconds. */
export class VersionHistory {
  /** Time at which a version was last listed, by service and version. */
  private readonly lastListedAt = new Map<string, Map<string, number>>()
  private isReadable = false

  /** Records targets that are listed now. */
  observe (targets: readonly TargetView[], mono: number): void {
    for (const target of targets) {
      const versions = this.lastListedAt.get(target.service) ?? new Map<string, number>()
      versions.set(versionOf(target), mono)
      this.lastListedAt.set(target.service, versions)
    }
  }

  /** Records that the register was read. */
  readSucceeded (): void {
    this.isReadable = true
  }

  /** Records that a read of the register failed: versions may have been listed since. */
  readFailed (): void {
    this.isReadable = false
  }

  /**
   * Versions of a service that were listed within a time.
   * @param spanMs - time until now
   */
  listed (service: string, spanMs: number, mono: number): readonly string[] {
    return [...this.lastListedAt.get(service) ?? []].filter(([, at]) => mono - at <= spanMs).map(([version]) => version)
  }

  /**
   * Versions of a service over a time. One that this VM has observed alone is the only one if the store says so, too.
   * @param spanMs - time until now
   * @param stored - versions of the service as the store has them
   */
  versions (service: string, spanMs: number, mono: number, stored: ServiceVersions): ServiceVersions {
    const known = new Set(this.listed(service, spanMs, mono))
    if (stored.kind === 'sole') known.add(stored.version)
    if (stored.kind === 'several' || known.size > 1) return { kind: 'several' }
    return this.isReadable && stored.kind === 'sole' ? stored : { kind: 'unknown' }
  }
}
