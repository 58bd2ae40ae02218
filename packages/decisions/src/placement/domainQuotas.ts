/**
 * How many copies of a model each failure domain should have: as evenly as the runners allow, and
 * where that leaves a choice, where copies are already.
 */

/** What a domain can hold of one model. */
export interface DomainRoom {
  readonly domain: string
  /** Runners that may hold a copy. */
  readonly room: number
  /** Runners of these that hold one, or are about to. */
  readonly holders: number
  /** Runners of these that hold another version. */
  readonly stale: number
  /** Failures of its holders of late; the domain with fewer comes first. */
  readonly failures: number
}

/**
 * Copies for each domain; together no more than wanted.
 * @param rooms - the domains
 * @param copies - how many copies are wanted
 */
export function domainQuotas (rooms: readonly DomainRoom[], copies: number): ReadonlyMap<string, number> {
  const quotas = new Map(rooms.map(({ domain }) => [domain, 0]))
  for (let left = copies; left > 0; left -= 1) {
    const next = emptiest(rooms, quotas)
    if (next === undefined) break
    quotas.set(next.domain, (quotas.get(next.domain) ?? 0) + 1)
  }
  return quotas
}

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
