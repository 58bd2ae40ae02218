/**
 * Distributes the copies of a model over failure domains, as evenly as their runners allow. Ties prefer domains
 * that already hold copies.
 */

/** Runners of one failure domain that are eligible for a model. */
export interface DomainRoom {
  readonly domain: string
  /** Eligible runners; an upper bound of the domain's quota. */
  readonly room: number
  /** Eligible runners that have the current version or are loading it. */
  readonly holders: number
  /** Eligible runners that have another version. */
  readonly stale: number
  /** Recent failures of the holders; ties prefer the domain with fewer. */
  readonly failures: number
}

/** Assigns each domain a number of copies; the sum never exceeds `copies`. */
export function domainQuotas (rooms: readonly DomainRoom[], copies: number): ReadonlyMap<string, number> {
  const quotas = new Map(rooms.map(({ domain }) => [domain, 0]))
  for (let left = copies; left > 0; left -= 1) {
    const next = emptiest(rooms, quotas)
    if (next === undefined) break
    quotas.set(next.domain, (quotas.get(next.domain) ?? 0) + 1)
  }
  return quotas
}

/**
 * Domain for the next copy: lowest quota first, then most unassigned holders, most stale copies, fewest
 * failures, and name.
 */
function emptiest (rooms: readonly DomainRoom[], quotas: ReadonlyMap<string, number>): DomainRoom | undefined {
  const quotaOf = ({ domain }: DomainRoom): number => quotas.get(domain) ?? 0
  const holdersLeft = (item: DomainRoom): number => Math.max(0, item.holders - quotaOf(item))
  const staleLeft = (item: DomainRoom): number => Math.max(0, item.holders + item.stale - quotaOf(item))
  const before = (a: DomainRoom, b: DomainRoom): number =>
    quotaOf(a) - quotaOf(b) ||
    holdersLeft(b) - holdersLeft(a) ||
    staleLeft(b) - staleLeft(a) ||
    a.failures - b.failures ||
    (a.domain < b.domain ? -1 : 1)
  return rooms.filter(item => quotaOf(item) < item.room).sort(before)[0]
}
