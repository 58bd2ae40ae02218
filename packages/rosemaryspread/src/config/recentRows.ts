/**
 * Caches the last version rows that came into force on this VM, to serve peers during a table outage. Bounded by
 * bytes; peers that need older rows get the full version.
 */
import type { VersionRow } from '@rosemaryspread/decisions/config/configRows.js'

const MAX_BYTES = 1024 * 1024

/** Consecutive version rows. */
export class RecentRows {
  #rows: VersionRow[] = []
  #sizes: number[] = []
  #bytes = 0

  /** Adds consecutive rows; rows already present are skipped, and a gap discards the earlier rows. */
  add (rows: readonly VersionRow[]): void {
    for (const row of rows) {
      const last = this.#rows.at(-1)?.version
      if (last !== undefined && row.version <= last) continue
      if (last !== undefined && row.version > last + 1) this.#clear()
      const size = JSON.stringify(row.delta).length + JSON.stringify(row.patch).length
      this.#rows.push(row)
      this.#sizes.push(size)
      this.#bytes += size
    }
    while (this.#bytes > MAX_BYTES) this.#dropFirst()
  }

  /**
   * The rows between two versions; undefined unless all are cached.
   * @param after - the version before the first
   * @param upTo - the last version
   */
  between (after: number, upTo: number): readonly VersionRow[] | undefined {
    const rows = this.#rows.filter(row => row.version > after && row.version <= upTo)
    return rows.length === upTo - after ? rows : undefined
  }

  #dropFirst (): void {
    this.#rows.shift()
    this.#bytes -= this.#sizes.shift() ?? 0
  }

  #clear (): void {
    this.#rows = []
    this.#sizes = []
    this.#bytes = 0
  }
}
