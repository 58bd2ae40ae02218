/**
 * The last version rows that came into force on this VM, kept to serve peers while the table is
 * down. Bounded by bytes: beyond that, peers are given the whole version.
 */
import type { VersionRow } from '@rosemaryspread/decisions/config/configRows.js'

const MAX_BYTES = 1024 * 1024

/** A run of version rows without gaps. */
export class RecentRows {
  #rows: VersionRow[] = []
  #sizes: number[] = []
  #bytes = 0

  /**
   * Adds rows that follow each other; rows known already are skipped, a gap begins anew.
   * @param rows - rows in order of version
   */
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
   * The rows between two versions, if all are here.
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
