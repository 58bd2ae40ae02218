/**
 * Fetches versions from the table, one fetch at a time, and a first version from the object
 * store while the table is down. What it gets is offered to the holder, which verifies it.
 */
import type { ConfigCandidate, ConfigSource } from '@rosemaryspread/decisions/config/configDecider.js'
import type { VersionMark } from '@rosemaryspread/decisions/config/configRows.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ConfigSnapshots } from './configSnapshots.js'
import type { ConfigVersions } from './configVersions.js'

/** Where fetched versions go. */
export interface FetchTarget {
  /** The version in force; undefined before the first. */
  version (): number | undefined
  deliver (source: ConfigSource, candidate: ConfigCandidate): void
}

/** Fetches versions for one store. */
export class ConfigFetcher {
  #running: Promise<void> | undefined

  /**
   * @param versions - versions as the platform keeps them
   * @param snapshots - the object store
   * @param log - where failures go
   * @param target - the holder behind its store
   */
  constructor (
    private readonly versions: ConfigVersions,
    private readonly snapshots: ConfigSnapshots,
    private readonly log: EventLog,
    private readonly target: FetchTarget
  ) {}

  /**
   * Fetches everything up to a version. Who comes during a fetch waits for it and looks again.
   * @param mark - the version wanted
   */
  async fetch (mark: VersionMark): Promise<void> {
    while (this.#running !== undefined) await this.#running
    if (!this.#isBehind(mark)) return
    this.#running = this.#fetchNow(mark).finally(() => { this.#running = undefined })
    await this.#running
  }

  /** Takes the newest version that the object store can prove. */
  async loadSnapshot (): Promise<void> {
    const newest = await this.snapshots.newest()
    const candidate = newest.toMaybe().chain(found => found).extractNullable()
    if (candidate === null) return
    this.target.deliver('snapshot', candidate)
    if (this.target.version() === undefined) this.#deliverParts(candidate)
  }

  /** As far as it verifies: the snapshot alone, then version by version. */
  #deliverParts ({ whole, rows }: ConfigCandidate): void {
    if (whole !== undefined) this.target.deliver('snapshot', { whole, rows: [] })
    for (const row of rows) this.target.deliver('snapshot', { rows: [row] })
  }

  async #fetchNow (mark: VersionMark): Promise<void> {
    const usedSnapshot = await this.#fetchOnce(mark, true)
    if (usedSnapshot && this.#isBehind(mark)) await this.#fetchOnce(mark, false)
  }

  /** Answers whether a snapshot was used. */
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
