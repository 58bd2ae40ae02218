/**
 * Software versions of the targets that the register lists, by service. While a service has had one version for longer than a stream lasts, the
 * version of each of its streams is known without a record.
 */
import { versionOf, type TargetView } from '../gateway/targetSet.js'
import type { ServiceVersions } from './streamTypes.js'

/** History of the versions as one VM observed it. Times are monotonic milliseconds. */
export class VersionHistory {
  /** Time at which a version was last listed, by service and version. */
  private readonly lastListedAt = new Map<string, Map<string, number>>()
  private readableSince: number | undefined
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
  readSucceeded (mono: number): void {
    this.readableSince ??= mono
    this.isReadable = true
  }

  /** Records that a read of the register failed: versions may have been listed since. */
  readFailed (): void {
    this.isReadable = false
  }

  /**
   * Versions of a service over a time.
   * @param spanMs - time until now
   */
  versions (service: string, spanMs: number, mono: number): ServiceVersions {
    const recent = [...this.lastListedAt.get(service) ?? []].filter(([, at]) => mono - at <= spanMs)
    if (recent.length > 1) return { kind: 'several' }
    const [sole] = recent
    const isObserved = this.isReadable && this.readableSince !== undefined && mono - this.readableSince >= spanMs
    return isObserved && sole !== undefined ? { kind: 'sole', version: sole[0] } : { kind: 'unknown' }
  }
}
