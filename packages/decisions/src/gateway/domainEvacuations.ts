/**
 * Failure domains evacuated by operators: their targets get no new requests until the evacuation is lifted. Requests that run
 * there continue.
 */

/** A domain that became evacuated, or whose evacuation was lifted. */
export interface EvacuationChange {
  readonly domain: string
  readonly isEvacuated: boolean
}

/** Evacuations in force. */
export class DomainEvacuations {
  private readonly domains = new Set<string>()

  get all (): ReadonlySet<string> {
    return this.domains
  }

  /**
   * Replaces all evacuations by those of `domains`.
   * @returns the changes
   */
  replace (domains: ReadonlySet<string>): readonly EvacuationChange[] {
    const ended = [...this.domains].filter(domain => !domains.has(domain))
    return [...ended.flatMap(domain => this.set(domain, false)), ...[...domains].flatMap(domain => this.set(domain, true))]
  }

  /**
   * Sets or lifts the evacuation of one domain.
   * @returns the changes; none if the domain is in this state already
   */
  set (domain: string, isEvacuated: boolean): readonly EvacuationChange[] {
    if (this.domains.has(domain) === isEvacuated) return []
    if (isEvacuated) this.domains.add(domain)
    else this.domains.delete(domain)
    return [{ domain, isEvacuated }]
  }
}
