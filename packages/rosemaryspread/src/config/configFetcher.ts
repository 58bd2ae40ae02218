/**
 * Fetches versions from the table, one fetch at a time, and an initial version from the object store during a
 * table outage. Fetched versions are passed to the decider, which verifies them.
 */
import type { ConfigCandidate, ConfigSource } from '@rosemaryspread/decisions/config/configDecider.js'
import type { VersionMark } from '@rosemaryspread/decisions/config/configRows.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ConfigSnapshots } from './configSnapshots.js'
import type { ConfigVersions } from './configVersions.js'

/** Receiver of fetched versions. */
export interface FetchTarget {
  /** The version in force; undefined before the first. */
  version (): number | undefined
  deliver (source: ConfigSource, candidate: ConfigCandidate): void
}

export class ConfigFetcher {
  #running: Promise<void> | undefined

  constructor (
    private readonly versions: ConfigVersions,
    private readonly snapshots: ConfigSnapshots,
    private readonly log: EventLog,
    private readonly target: FetchTarget
  ) {}

  /** Fetches everything up to a version. A call during another fetch waits for it, then fetches only if still behind. */
  async fetch (mark: VersionMark): Promise<void> {
    while (this.#running !== undefined) await this.#running
    if (!this.#isBehind(mark)) return
    this.#running = this.#fetchNow(mark).finally(() => { this.#running = undefined })
    await this.#running
  }

  /** Loads the newest version that the object store contains and that verifies. */
  async loadSnapshot (): Promise<void> {
    const newest = await this.snapshots.newest()
    const candidate = newest.toMaybe().chain(found => found).extractNullable()
    if (candidate === null) return
    this.target.deliver('snapshot', candidate)
    if (this.target.version() === undefined) this.#deliverParts(candidate)
  }

  /** Delivers the snapshot and each row separately, so that the versions before a faulty one are still applied. */
  #deliverParts ({ whole, rows }: ConfigCandidate): void {
    if (whole !== undefined) this.target.deliver('snapshot', { whole, rows: [] })
    for (const row of rows) this.target.deliver('snapshot', { rows: [row] })
  }

  async #fetchNow (mark: VersionMark): Promise<void> {
    const usedSnapshot = await this.#fetchOnce(mark, true)
    if (usedSnapshot && this.#isBehind(mark)) await this.#fetchOnce(mark, false)
  }

  /**
   * @returns whether a snapshot was used
   */
  async #fetchOnce (mark: VersionMark, useSnapshots: boolean): Promise<boolean> {
    const candidate = await this.versions.candidate(this.target.version() ?? 0, mark, useSnapshots)
    return candidate.caseOf({
      Left: failure => {
        this.log.write('configUnreachable', { version: this.target.version(), code: failure.code, detail: failure.message })
        return false
      },
      Right: found => {
        this.target.deliver('table', found)
        return found.whole !== undefined
      }
    })
  }

  #isBehind (mark: VersionMark): boolean {
    const version = this.target.version()
    return version === undefined || version < mark.version
  }
}
