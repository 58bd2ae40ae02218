/**
 * Proposes the next placement orders for one model by comparing the declared with the reported and pending state;
 * a plan keeps no state between runs. A `load` replaces the version that an engine has, so a new version is loaded
 * on a spare runner first, then replaces the old one copy by copy, and surplus copies are unloaded last.
 */
import { domainQuotas } from './domainQuotas.js'
import type { PlacementLimits } from './placementTypes.js'
import { copyState, isCandidate, type CopyState, type ModelTarget, type PlacementRunner } from './runnerView.js'

/** An order that a plan proposes. */
export interface PlacementWish {
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
  private readonly serving: number
  private readonly spare: Copy[]
  /** Reported and pending copies by domain. */
  private readonly have = new Map<string, number>()
  /** Serving copies beyond the declared number; each allows one to be replaced in place. */
  private above: number
  private loading: number
  private isSpareLoading: boolean
  private readonly wishes: PlacementWish[] = []

  /**
   * @param runners - the runners that declare, have or await the model
   */
  constructor (private readonly target: ModelTarget, runners: readonly PlacementRunner[], private readonly limits: PlacementLimits) {
    this.copies = runners.map(runner => {
      const state = copyState(runner, target)
      return { ...runner, state, isCandidate: target.version !== undefined && isCandidate(runner, target, state) }
    })
    this.quotas = this.quotasOf()
    this.wanted = [...this.quotas.values()].reduce((sum, quota) => sum + quota, 0)
    this.serving = this.copies.filter(copy => copy.isServing && copy.allowed.includes(target.model) && isIn(copy, 'good', 'stale')).length
    this.spare = this.copies.filter(copy => copy.isCandidate && copy.state === 'none').sort(byFitness)
    this.above = this.serving - this.wanted
    this.loading = this.copies.filter(copy => copy.state === 'loading').length
    this.isSpareLoading = this.copies.some(copy => copy.state === 'loading' && !this.holds(copy))
    for (const domain of this.quotas.keys()) this.have.set(domain, this.count(domain, 'good', 'partial', 'loading'))
  }

  /** Returns the orders that may be sent now, by priority. */
  next (): readonly PlacementWish[] {
    for (const [domain, quota] of this.quotas) this.fill(domain, quota)
    for (const copy of this.copies) this.addAdapters(copy)
    if (this.target.version === undefined || this.isMet()) this.trim()
    return this.wishes
  }

  private quotasOf (): ReadonlyMap<string, number> {
    const candidates = this.copies.filter(copy => copy.isCandidate)
    const domains = [...new Set(candidates.map(({ domain }) => domain))].sort()
    const rooms = domains.map(domain => {
      const here = candidates.filter(copy => copy.domain === domain)
      const holders = here.filter(copy => isIn(copy, 'good', 'partial', 'loading'))
      const stale = here.filter(copy => isIn(copy, 'stale')).length
      return { domain, room: here.length, holders: holders.length, stale, failures: sum(holders.map(({ downs }) => downs)) }
    })
    return domainQuotas(rooms, this.target.copies ?? candidates.length)
  }

  private fill (domain: string, quota: number): void {
    while ((this.have.get(domain) ?? 0) < quota) {
      const spare = this.takeSpare(copy => copy.domain === domain)
      if (spare !== undefined) this.load(spare, `copy ${(this.have.get(domain) ?? 0) + 1} of ${quota} in ${domain}`)
      else if (!this.swap(domain)) return
    }
  }

  /**
   * Replaces another version in place.
   * @returns false when the replacement has to wait
   */
  private swap (domain: string): boolean {
    const stale = this.copies.find(copy => copy.isCandidate && copy.domain === domain && copy.state === 'stale' && !this.isWished(copy))
    if (stale === undefined) return false
    if (this.above > 0) {
      this.above -= 1
      this.load(stale, `replaces another version by ${this.target.version}, ${this.serving - 1} other copies serve`)
      return true
    }
    if (this.isSpareLoading) return false
    const elsewhere = this.takeSpare(() => true)
    if (elsewhere !== undefined) {
      this.load(elsewhere, `spare copy of version ${this.target.version} before other copies are replaced`)
      return false
    }
    if (this.loading >= Math.max(1, Math.floor(this.wanted * this.limits.maxUnavailable))) return false
    this.load(stale, `replaces another version by ${this.target.version}, no spare runner`)
    return true
  }

  private takeSpare (fits: (copy: Copy) => boolean): Copy | undefined {
    const index = this.spare.findIndex(fits)
    return index < 0 ? undefined : this.spare.splice(index, 1)[0]
  }

  private load (copy: Copy, reason: string): void {
    this.loading += 1
    if (copy.state === 'none') this.isSpareLoading = true
    this.have.set(copy.domain, (this.have.get(copy.domain) ?? 0) + 1)
    this.wish(copy, 'load', this.target.version ?? '', reason)
  }

  private addAdapters (copy: Copy): void {
    if (!copy.isCandidate || copy.state !== 'partial') return
    const loaded = copy.loaded.find(({ model }) => model === this.target.model)
    const missing = this.target.adapters.find(adapter => loaded?.adapters.includes(adapter) !== true)
    if (missing !== undefined) this.wish(copy, 'loadAdapter', this.target.version ?? '', `adapter ${missing} is missing`, { adapter: missing })
  }

  /** Whether every domain reports its quota of up-to-date copies. */
  private isMet (): boolean {
    return this.wanted > 0 && [...this.quotas].every(([domain, quota]) => this.count(domain, 'good') >= quota)
  }

  private trim (): void {
    for (const copy of this.copies) {
      if (!copy.isServing || !isIn(copy, 'good', 'partial', 'stale')) continue
      const reason = this.reasonAgainst(copy)
      if (reason !== undefined) this.unload(copy, reason, false)
    }
    for (const [domain, quota] of this.quotas) {
      const good = this.copies.filter(copy => copy.isCandidate && copy.domain === domain && isIn(copy, 'good', 'partial'))
      const last = [...good].sort(byWorth).slice(quota)
      for (const copy of last) this.unload(copy, `${good.length} copies in ${domain}, ${quota} declared`, true)
    }
  }

  private reasonAgainst (copy: Copy): string | undefined {
    if (this.target.version === undefined) return 'the model is not in the configuration'
    if (!copy.allowed.includes(this.target.model)) return 'the runner does not declare the model'
    return copy.state === 'stale' && copy.isSteady && this.wanted === this.target.copies ? `replaced by version ${this.target.version}` : undefined
  }

  private unload (copy: Copy, reason: string, isSurplus: boolean): void {
    const loaded = copy.loaded.find(({ model }) => model === this.target.model)
    if (loaded !== undefined) this.wish(copy, 'unload', loaded.version, reason, { isSurplus })
  }

  private wish (copy: Copy, kind: PlacementWish['kind'], version: string, reason: string, more: { adapter?: string, isSurplus?: boolean } = {}): void {
    const { model } = this.target
    this.wishes.push({ runner: copy.runner, kind, model, version, reason, isSurplus: false, serving: this.serving, ...more })
  }

  private isWished (copy: Copy): boolean {
    return this.wishes.some(({ runner }) => runner === copy.runner)
  }

  private holds (copy: Copy): boolean {
    return copy.loaded.some(({ model }) => model === this.target.model)
  }

  private count (domain: string, ...states: readonly CopyState[]): number {
    return this.copies.filter(copy => copy.isCandidate && copy.domain === domain && isIn(copy, ...states)).length
  }
}

function isIn (copy: Copy, ...states: readonly CopyState[]): boolean {
  return states.includes(copy.state)
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}

/** Order of runners for a new copy: fewest failures, then fewest loaded models, then name. */
function byFitness (a: Copy, b: Copy): number {
  return a.downs - b.downs || a.loaded.length - b.loaded.length || byName(a, b)
}

/** Order of copies for retention; the first ones are retained. */
function byWorth (a: Copy, b: Copy): number {
  return Number(a.state === 'partial') - Number(b.state === 'partial') || a.downs - b.downs || byName(a, b)
}

function byName (a: Copy, b: Copy): number {
  return a.runner < b.runner ? -1 : 1
}
