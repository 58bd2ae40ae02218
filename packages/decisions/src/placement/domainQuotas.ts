/**
 * Distributes the copies of a model over failure domains, as evenly as their runners allow. Ties prefer domains
 * that already hold copies.
 */

/** Runners of one failure domain that are eligible for a model. */
export interface DomainCapacity {
  readonly domain: string
  /** Eligible runners; an upper bound of the domain's quota. */
  readonly capacity: number
  /** Eligible runners that have the current version or are loading it. */
  readonly holders: number
  /** Eligible runners that have another version. */
  readonly stale: number
  /** Recent failures of the holders; ties prefer the domain with fewer. */
  readonly failures: number
}

/** Assigns each domain a number of copies; the sum never exceeds `copies`. */
export function domainQuotas (domains: readonly DomainCapacity[], copies: number): ReadonlyMap<string, number> {
  const quotas = new Map(domains.map(({ domain }) => [domain, 0]))
  for (let remaining = copies; remaining > 0; remaining -= 1) {
    const next = nextDomain(domains, quotas)
    if (next === undefined) break
    quotas.set(next.domain, (quotas.get(next.domain) ?? 0) + 1)
  }
  return quotas
}

/**
 * Domain for the next copy: lowest quota first, then most unassigned holders, most stale copies, fewest
 * failures, and name.
 */
function nextDomain (domains: readonly DomainCapacity[], quotas: ReadonlyMap<string, number>): DomainCapacity | undefined {
  const quotaOf = ({ domain }: DomainCapacity): number => quotas.get(domain) ?? 0
  const unassignedHolders = (item: DomainCapacity): number => Math.max(0, item.holders - quotaOf(item))
  const unassignedStale = (item: DomainCapacity): number => Math.max(0, item.holders + item.stale - quotaOf(item))
  const compare = (a: DomainCapacity, b: DomainCapacity): number =>
    quotaOf(a) - quotaOf(b) ||
    unassignedHolders(b) - unassignedHolders(a) ||
    unassignedStale(b) - unassignedStale(a) ||
    a.failures - b.failures ||
    (a.domain < b.domain ? -1 : 1)
  return domains.filter(item => quotaOf(item) < item.capacity).sort(compare)[0]
}
