/**
 * What is believed of the prompt prefixes cached at each runner. Cache events come late and
 * with gaps and evictions may be lost, so an entry is only a hint and expires; the number of
 * entries is bounded and the oldest go first.
 */

/** Entries kept at most. */
export const PREFIX_LIMIT = 16_384

/** Milliseconds for which an entry is believed. */
export const PREFIX_KEEP_MS = 120_000

/** Runners remembered for one prefix at most. */
const RUNNERS_PER_PREFIX = 4

interface Holding {
  readonly runner: string
  readonly until: number
}

/** Prefix hashes and the runners believed to hold them. Times are monotonic milliseconds. */
export class PrefixIndex {
  private readonly holdings = new Map<string, Holding[]>()

  get size (): number {
    return this.holdings.size
  }

  stored (hash: string, runner: string, mono: number): void {
    const others = (this.holdings.get(hash) ?? []).filter(item => item.runner !== runner && item.until > mono)
    const kept = others.slice(-(RUNNERS_PER_PREFIX - 1))
    this.holdings.delete(hash)
    this.holdings.set(hash, [...kept, { runner, until: mono + PREFIX_KEEP_MS }])
    if (this.holdings.size > PREFIX_LIMIT) this.dropOldest()
  }

  evicted (hash: string, runner: string): void {
    const rest = (this.holdings.get(hash) ?? []).filter(item => item.runner !== runner)
    if (rest.length === 0) this.holdings.delete(hash)
    else this.holdings.set(hash, rest)
  }

  /**
   * Share of a prompt believed to be cached at a runner, 0 to 1.
   * @param hashes - hashes of the prompt's prefixes, longest last
   * @param runner - the runner
   * @param mono - present time
   */
  share (hashes: readonly string[], runner: string, mono: number): number {
    for (let i = hashes.length - 1; i >= 0; i--) {
      const holders = this.holdings.get(hashes[i] ?? '')
      if (holders?.some(item => item.runner === runner && item.until > mono) === true) return (i + 1) / hashes.length
    }
    return 0
  }

  /**
   * Runners believed to hold the longest known prefix.
   * @param hashes - hashes of the prompt's prefixes, longest last
   * @param mono - present time
   */
  holders (hashes: readonly string[], mono: number): readonly string[] {
    for (let i = hashes.length - 1; i >= 0; i--) {
      const live = (this.holdings.get(hashes[i] ?? '') ?? []).filter(item => item.until > mono)
      if (live.length > 0) return live.map(item => item.runner)
    }
    return []
  }

  private dropOldest (): void {
    const oldest = this.holdings.keys().next()
    if (oldest.done !== true) this.holdings.delete(oldest.value)
  }
}
