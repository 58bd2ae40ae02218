/**
 * Proposes the next placement orders for one model by comparing the declared with the reported and pending state;
 * a plan keeps no state between runs. A `load` replaces the version that an engine has, so a new version is loaded
 * on a spare runner first, then replaces the old one copy by copy, and surplus copies are unloaded last.
 */
import { domainQuotas } from './domainQuotas.js'
import type { PlacementLimits } from './placementTypes.js'
import { copyState, isCandidate, type CopyState, type ModelDeclaration, type PlacementRunner } from './runnerView.js'

/** An order that a plan proposes. */
export interface ProposedOrder {
  readonly runner: string
  readonly kind: 'load' | 'unload' | 'loadAdapter'
  readonly model: string
  readonly version: string
  readonly adapter?: string
  readonly reason: string
  /** An up-to-date copy beyond the declared number; it is unloaded only after a delay. */
  readonly isSurplus: boolean
  /** Copies of the model that serve now; models with fewer are handled first. */
  readonly serving: number
}

/** A runner and the state of the model on it. */
interface Copy extends PlacementRunner {
  readonly state: CopyState
  readonly isCandidate: boolean
}

export class ModelPlan {
  private readonly copies: readonly Copy[]
  private readonly quotas: ReadonlyMap<string, number>
  private readonly wanted: number
  private readonly servingCount: number
  private readonly spareRunners: Copy[]
  /** Reported and pending copies by domain. */
  private readonly provisioned = new Map<string, number>()
  /** Serving copies beyond the declared number; each allows one to be replaced in place. */
  private surplus: number
  private loadingCount: number
  private isSpareLoading: boolean
  private readonly proposals: ProposedOrder[] = []

  /**
   * @param runners - the runners that declare, have or await the model
   */
  constructor (private readonly target: ModelDeclaration, runners: readonly PlacementRunner[], private readonly limits: PlacementLimits) {
    this.copies = runners.map(runner => {
      const state = copyState(runner, target)
      return { ...runner, state, isCandidate: target.version !== undefined && isCandidate(runner, target, state) }
    })
    this.quotas = this.computeQuotas()
    this.wanted = [...this.quotas.values()].reduce((sum, quota) => sum + quota, 0)
    this.servingCount = this.copies.filter(copy => copy.isServing && copy.declaredModels.includes(target.model) && hasState(copy, 'good', 'stale')).length
    this.spareRunners = this.copies.filter(copy => copy.isCandidate && copy.state === 'none').sort(byFitness)
    this.surplus = this.servingCount - this.wanted
    this.loadingCount = this.copies.filter(copy => copy.state === 'loading').length
    this.isSpareLoading = this.copies.some(copy => copy.state === 'loading' && !this.hasModelLoaded(copy))
    for (const domain of this.quotas.keys()) this.provisioned.set(domain, this.count(domain, 'good', 'partial', 'loading'))
  }

  /** Returns the orders that may be sent now, by priority. */
  next (): readonly ProposedOrder[] {
    for (const [domain, quota] of this.quotas) this.fillQuota(domain, quota)
    for (const copy of this.copies) this.addAdapters(copy)
    if (this.target.version === undefined || this.isQuotaMet()) this.unloadExcess()
    return this.proposals
  }

  private computeQuotas (): ReadonlyMap<string, number> {
    const candidates = this.copies.filter(copy => copy.isCandidate)
    const domains = [...new Set(candidates.map(({ domain }) => domain))].sort()
    const capacities = domains.map(domain => {
      const inDomain = candidates.filter(copy => copy.domain === domain)
      const holders = inDomain.filter(copy => hasState(copy, 'good', 'partial', 'loading'))
      const stale = inDomain.filter(copy => hasState(copy, 'stale')).length
      return { domain, capacity: inDomain.length, holders: holders.length, stale, failures: sum(holders.map(({ failures }) => failures)) }
    })
    return domainQuotas(capacities, this.target.copies ?? candidates.length)
  }

  private fillQuota (domain: string, quota: number): void {
    while ((this.provisioned.get(domain) ?? 0) < quota) {
      const spare = this.allocateSpare(copy => copy.domain === domain)
      if (spare !== undefined) this.load(spare, `copy ${(this.provisioned.get(domain) ?? 0) + 1} of ${quota} in ${domain}`)
      else if (!this.replaceInPlace(domain)) return
    }
  }

  /**
   * Replaces another version in place.
   * @returns false when the replacement has to wait
   */
  private replaceInPlace (domain: string): boolean {
    const stale = this.copies.find(copy => copy.isCandidate && copy.domain === domain && copy.state === 'stale' && !this.hasProposal(copy))
    if (stale === undefined) return false
    if (this.surplus > 0) {
      this.surplus -= 1
      this.load(stale, `replaces another version by ${this.target.version}, ${this.servingCount - 1} other copies serve`)
      return true
    }
    if (this.isSpareLoading) return false
    const elsewhere = this.allocateSpare(() => true)
    if (elsewhere !== undefined) {
      this.load(elsewhere, `spare copy of version ${this.target.version} before other copies are replaced`)
      return false
    }
    if (this.loadingCount >= Math.max(1, Math.floor(this.wanted * this.limits.maxUnavailable))) return false
    this.load(stale, `replaces another version by ${this.target.version}, no spare runner`)
    return true
  }

  private allocateSpare (isEligible: (copy: Copy) => boolean): Copy | undefined {
    const index = this.spareRunners.findIndex(isEligible)
    return index < 0 ? undefined : this.spareRunners.splice(index, 1)[0]
  }

  private load (copy: Copy, reason: string): void {
    this.loadingCount += 1
    if (copy.state === 'none') this.isSpareLoading = true
    this.provisioned.set(copy.domain, (this.provisioned.get(copy.domain) ?? 0) + 1)
    this.propose(copy, 'load', this.target.version ?? '', reason)
  }

  private addAdapters (copy: Copy): void {
    if (!copy.isCandidate || copy.state !== 'partial') return
    const loaded = copy.loaded.find(({ model }) => model === this.target.model)
    const missing = this.target.adapters.find(adapter => loaded?.adapters.includes(adapter) !== true)
    if (missing !== undefined) this.propose(copy, 'loadAdapter', this.target.version ?? '', `adapter ${missing} is missing`, { adapter: missing })
  }

  /** Whether every domain reports its quota of up-to-date copies. */
  private isQuotaMet (): boolean {
    return this.wanted > 0 && [...this.quotas].every(([domain, quota]) => this.count(domain, 'good') >= quota)
  }

  private unloadExcess (): void {
    for (const copy of this.copies) {
      if (!copy.isServing || !hasState(copy, 'good', 'partial', 'stale')) continue
      const reason = this.unloadReason(copy)
      if (reason !== undefined) this.unload(copy, reason, false)
    }
    for (const [domain, quota] of this.quotas) {
      const current = this.copies.filter(copy => copy.isCandidate && copy.domain === domain && hasState(copy, 'good', 'partial'))
      const excess = [...current].sort(byRetentionPriority).slice(quota)
      for (const copy of excess) this.unload(copy, `${current.length} copies in ${domain}, ${quota} declared`, true)
    }
  }

  private unloadReason (copy: Copy): string | undefined {
    if (this.target.version === undefined) return 'the model is not in the configuration'
    if (!copy.declaredModels.includes(this.target.model)) return 'the runner does not declare the model'
    return copy.state === 'stale' && copy.isStable && this.wanted === this.target.copies ? `replaced by version ${this.target.version}` : undefined
  }

  private unload (copy: Copy, reason: string, isSurplus: boolean): void {
    const loaded = copy.loaded.find(({ model }) => model === this.target.model)
    if (loaded !== undefined) this.propose(copy, 'unload', loaded.version, reason, { isSurplus })
  }

  private propose (copy: Copy, kind: ProposedOrder['kind'], version: string, reason: string, options: { adapter?: string, isSurplus?: boolean } = {}): void {
    const { model } = this.target
    this.proposals.push({ runner: copy.runner, kind, model, version, reason, isSurplus: false, serving: this.servingCount, ...options })
  }

  private hasProposal (copy: Copy): boolean {
    return this.proposals.some(({ runner }) => runner === copy.runner)
  }

  private hasModelLoaded (copy: Copy): boolean {
    return copy.loaded.some(({ model }) => model === this.target.model)
  }

  private count (domain: string, ...states: readonly CopyState[]): number {
    return this.copies.filter(copy => copy.isCandidate && copy.domain === domain && hasState(copy, ...states)).length
  }
}

function hasState (copy: Copy, ...states: readonly CopyState[]): boolean {
  return states.includes(copy.state)
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}

/** Order of runners for a new copy: fewest failures, then fewest loaded models, then name. */
function byFitness (a: Copy, b: Copy): number {
  return a.failures - b.failures || a.loaded.length - b.loaded.length || byName(a, b)
}

/** Order of copies for retention; the first ones are retained. */
function byRetentionPriority (a: Copy, b: Copy): number {
  return Number(a.state === 'partial') - Number(b.state === 'partial') || a.failures - b.failures || byName(a, b)
}

function byName (a: Copy, b: Copy): number {
  return a.runner < b.runner ? -1 : 1
}
