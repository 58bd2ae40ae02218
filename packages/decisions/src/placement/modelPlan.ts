/**
 * What is to be done for one model now. A plan keeps no memory: it compares what is declared
 * with what is reported and awaited, and names the next orders. A `load` replaces the version
 * that an engine has, so a new version goes to a spare runner first, then takes the place of the
 * old one copy by copy, and what is left over is unloaded last.
 */
import { domainQuotas } from './domainQuotas.js'
import type { PlacementLimits } from './placementTypes.js'
import { copyState, isCandidate, type CopyState, type ModelTarget, type PlacementRunner } from './runnerView.js'

/** An order that a plan asks for. */
export interface PlacementWish {
  readonly runner: string
  readonly kind: 'load' | 'unload' | 'loadAdapter'
  readonly model: string
  readonly version: string
  readonly adapter?: string
  readonly reason: string
  /** A good copy that is merely more than declared; it stays for a while. */
  readonly isSurplus: boolean
  /** Copies that serve now; models with fewer go first. */
  readonly serving: number
}

/** A runner with what it holds of the model. */
interface Copy extends PlacementRunner {
  readonly state: CopyState
  readonly isCandidate: boolean
}

/** The next orders for one model. */
export class ModelPlan {
  private readonly copies: readonly Copy[]
  private readonly quotas: ReadonlyMap<string, number>
  private readonly wanted: number
  private readonly serving: number
  private readonly spare: Copy[]
  /** Copies on the way, by domain, together with those that are there. */
  private readonly have = new Map<string, number>()
  /** Copies above the wanted number that serve, so that one may be swapped for each. */
  private above: number
  private loading: number
  private isSpareLoading: boolean
  private readonly wishes: PlacementWish[] = []

  /**
   * @param target - what is declared
   * @param runners - the runners that declare, hold or await the model
   * @param limits - how many may be swapped at once
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

  /** The orders that may be sent now, in order of need. */
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

  /** Replaces another version in place; false when that has to wait. */
  private swap (domain: string): boolean {
    const stale = this.copies.find(copy => copy.isCandidate && copy.domain === domain && copy.state === 'stale' && !this.isWished(copy))
    if (stale === undefined) return false
    if (this.above > 0) {
      this.above -= 1
      this.load(stale, `version ${this.target.version} in place, ${this.serving - 1} others serve`)
      return true
    }
    if (this.isSpareLoading) return false
    const elsewhere = this.takeSpare(() => true)
    if (elsewhere !== undefined) {
      this.load(elsewhere, `spare copy of version ${this.target.version} before others are replaced`)
      return false
    }
    if (this.loading >= Math.max(1, Math.floor(this.wanted * this.limits.maxUnavailable))) return false
    this.load(stale, `version ${this.target.version} in place, no runner is spare`)
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

  /** Every domain has its good copies, as reported. */
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
    if (this.target.version === undefined) return 'the configuration does not name the model'
    if (!copy.allowed.includes(this.target.model)) return 'the runner does not declare the model'
    return copy.state === 'stale' && copy.isSteady && this.wanted === this.target.copies ? `version ${this.target.version} has taken its place` : undefined
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

/** Runners for a new copy: fewest failures, then least loaded, then by name. */
function byFitness (a: Copy, b: Copy): number {
  return a.downs - b.downs || a.loaded.length - b.loaded.length || byName(a, b)
}

/** Copies to keep come first. */
function byWorth (a: Copy, b: Copy): number {
  return Number(a.state === 'partial') - Number(b.state === 'partial') || a.downs - b.downs || byName(a, b)
}

function byName (a: Copy, b: Copy): number {
  return a.runner < b.runner ? -1 : 1
}
