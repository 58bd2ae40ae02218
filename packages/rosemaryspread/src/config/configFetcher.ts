/**
 * Fetches versions from the table, one fetch at a time, and an initial version from the object store during a
 * table outage. Fetched versions are passed to the decider, which verifies them.
 */
import type { ConfigCandidate, ConfigSource } from '@rosemaryspread/decisions/config/configDecider.js'
import type { VersionRef } from '@rosemaryspread/decisions/config/configRows.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ConfigSnapshots } from './configSnapshots.js'
import type { ConfigVersions } from './configVersions.js'

/** Receiver of fetched versions. */
export interface FetchReceiver {
  /** The version in force; undefined before the first. */
  version (): number | undefined
  deliver (source: ConfigSource, candidate: ConfigCandidate): void
}

export class ConfigFetcher {
  #currentFetch: Promise<void> | undefined

  constructor (
    private readonly versions: ConfigVersions,
    private readonly snapshots: ConfigSnapshots,
    private readonly log: EventLog,
    private readonly target: FetchReceiver
  ) {}

  /** Fetches everything up to a version. A call during another fetch waits for it, then fetches only if still behind. */
  async fetch (wanted: VersionRef): Promise<void> {
    while (this.#currentFetch !== undefined) await this.#currentFetch
    if (!this.#isBehind(wanted)) return
    this.#currentFetch = this.#fetchNow(wanted).finally(() => { this.#currentFetch = undefined })
    await this.#currentFetch
  }

  /** Loads the newest version that the object store contains and that verifies. */
  async loadSnapshot (): Promise<void> {
    const newest = await this.snapshots.newest()
    const candidate = newest.toMaybe().chain(found => found).extractNullable()
    if (candidate === null) return
    this.target.deliver('snapshot', candidate)
    if (this.target.version() === undefined) this.#deliverSeparately(candidate)
  }

  /** Delivers the snapshot and each row separately, so that the versions before a faulty one are still applied. */
  #deliverSeparately ({ whole, rows }: ConfigCandidate): void {
    if (whole !== undefined) this.target.deliver('snapshot', { whole, rows: [] })
    for (const row of rows) this.target.deliver('snapshot', { rows: [row] })
  }

  async #fetchNow (wanted: VersionRef): Promise<void> {
    const usedSnapshot = await this.#fetchOnce(wanted, true)
    if (usedSnapshot && this.#isBehind(wanted)) await this.#fetchOnce(wanted, false)
  }

  /**
   * @returns whether a snapshot was used
   */
  async #fetchOnce (wanted: VersionRef, useSnapshots: boolean): Promise<boolean> {
    const candidate = await this.versions.candidate(this.target.version() ?? 0, wanted, useSnapshots)
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

  #isBehind (wanted: VersionRef): boolean {
    const version = this.target.version()
    return version === undefined || version < wanted.version
  }
}
