/**
 * Test harness for placement in virtual time: engines, a weight store, a lease and the VMs that may hold it, with fault
 * injection. Counts orders and the time with fewer copies than declared.
 */
import { fleetConfigSchema, type FleetConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { PlacementDecider, PlacementOrder } from '@rosemaryspread/decisions/placement/placementTypes.js'
import { TokenBucket } from '../weights/tokenBucket.js'
import { SimulatedEngine, type SimulatedEngineOptions } from './simulatedEngine.js'
import { SimulatedHolder, type SimulatedHolderOptions } from './simulatedHolder.js'

export const STEP_MS = 100
/** When the lease expires: for its holder, and later for the other VMs. */
const LEASE_MS = { holder: 5_000, others: 7_000 }
/** How long a replaced configuration or an unreachable engine still counts when an unload is checked. */
const RECENT_MS = 40_000

export interface PlacementHarnessOptions {
  readonly config: unknown
  /** Settings by runner; defaults come from the configuration. */
  readonly engines?: Readonly<Record<string, Partial<SimulatedEngineOptions>>>
  readonly planners: readonly PlacementDecider[]
  readonly holder?: SimulatedHolderOptions
  readonly weightsPerMinute?: number
  readonly weightsBurst?: number
}

export class PlacementHarness {
  now = 0
  readonly engines = new Map<string, SimulatedEngine>()
  readonly holders: readonly SimulatedHolder[]
  config: FleetConfig
  /** Orders other than fencing announcements, including repeated ones. */
  orders = 0
  fencingAnnouncements = 0
  weightRefusals = 0
  /** Milliseconds with fewer serving copies than declared, summed over all models. */
  shortMs = 0
  /** Milliseconds without a serving copy, summed over all models. */
  absentMs = 0
  /** Unloads that left fewer copies than declared. */
  readonly harmfulUnloads: string[] = []
  /** All orders sent, including fencing announcements. */
  readonly sent: PlacementOrder[] = []
  private fencing = 0
  private lease: { holder: SimulatedHolder, renewedAt: number } | undefined
  private pending: { readonly at: number, readonly run: () => void }[] = []
  private configs: { readonly until: number, readonly config: FleetConfig }[] = []

  constructor (options: PlacementHarnessOptions) {
    this.config = fleetConfigSchema.parse(options.config)
    const weights = new TokenBucket(options.weightsPerMinute ?? 30, options.weightsBurst ?? 4)
    for (const [runner, cfg] of Object.entries(this.config.runners)) {
      const settings = { domain: cfg.domain, models: [], checksFencing: cfg.checksFencing, loadMs: 20_000, lagMs: 2_000, ...options.engines?.[runner] }
      this.engines.set(runner, new SimulatedEngine(settings, weights, order => { this.checkUnload(runner, order) }))
    }
    this.holders = options.planners.map(planner => new SimulatedHolder(this, planner, options.holder ?? { checksLease: true }))
  }

  /** Schedules `run` in `ms` virtual milliseconds. */
  after (ms: number, run: () => void): void {
    this.pending.push({ at: this.now + ms, run })
  }

  /** Changes the configuration; VMs see it at their next tick. */
  patch (change: (config: FleetConfig) => void): void {
    this.configs.push({ until: this.now, config: this.config })
    const next = structuredClone(this.config)
    change(next)
    this.config = fleetConfigSchema.parse(next)
  }

  run (ms: number): void {
    for (const end = this.now + ms; this.now < end;) this.step()
  }

  /**
   * Runs until the declared state is reached.
   * @returns milliseconds elapsed, at least `limitMs` if the state was not reached
   */
  runUntilPlaced (limitMs: number): number {
    const start = this.now
    while (!this.isPlaced() && this.now - start < limitMs) this.step()
    return this.now - start
  }

  engine (runner: string): SimulatedEngine {
    const engine = this.engines.get(runner)
    if (engine === undefined) throw new Error(`unknown engine ${runner}`)
    return engine
  }

  recordOrder (order: PlacementOrder): void {
    if (order.kind === 'role') this.fencingAnnouncements += 1
    else this.orders += 1
    this.sent.push(order)
  }

  /** Number of serving copies, optionally only of the declared version. */
  serving (model: string, onlyDeclaredVersion = false): number {
    const version = onlyDeclaredVersion ? this.config.models[model]?.version : undefined
    return this.eligibleEngines(model).filter(([, engine]) => !engine.isCut && engine.serves(model, version)).length
  }

  /** Number of declared copies, limited by the reachable runners that may hold them. */
  declared (model: string, config = this.config): number {
    const found = config.models[model]
    return found === undefined ? 0 : Math.min(found.copies ?? Infinity, this.eligibleEngines(model, config).filter(([, engine]) => engine.isReachable).length)
  }

  /** Whether each model has exactly the declared copies, in the declared version. */
  isPlaced (): boolean {
    return Object.keys(this.config.models).every(model => {
      const { version = '', adapters = [] } = this.config.models[model] ?? {}
      const eligible = this.eligibleEngines(model).filter(([, engine]) => engine.isReachable)
      const upToDate = eligible.filter(([, engine]) => engine.serves(model, version) && adapters.every(adapter => engine.models.serves(model, adapter)))
      const holding = [...this.engines].filter(([, engine]) => engine.isReachable && !engine.isLeaving && engine.hasModel(model))
      return upToDate.length === this.declared(model) && holding.length === upToDate.length
    })
  }

  /** Failure domain of each serving copy of a model, sorted. */
  servingDomains (model: string): readonly string[] {
    return this.eligibleEngines(model).filter(([, engine]) => engine.isReachable && engine.serves(model)).map(([, engine]) => engine.options.domain).sort()
  }

  private eligibleEngines (model: string, config = this.config): ReadonlyArray<readonly [string, SimulatedEngine]> {
    return [...this.engines].filter(([runner, engine]) => {
      const cfg = config.runners[runner]
      return cfg?.state === 'active' && cfg.models.includes(model) && !engine.isLeaving
    })
  }

  private step (): void {
    this.now += STEP_MS
    const due = this.pending.filter(({ at }) => at <= this.now)
    this.pending = this.pending.filter(({ at }) => at > this.now)
    for (const { run } of due) run()
    for (const engine of this.engines.values()) engine.advance(this.now)
    this.updateLease()
    for (const holder of this.holders) holder.step()
    this.count()
  }

  private updateLease (): void {
    const { lease } = this
    if (lease !== undefined && !lease.holder.isFrozen && lease.holder.fencing === this.fencing && this.now < lease.holder.validUntil) {
      lease.renewedAt = this.now
      lease.holder.validUntil = this.now + LEASE_MS.holder
    }
    if (lease !== undefined && this.now - lease.renewedAt < LEASE_MS.others) return
    const next = this.holders.find(holder => !holder.isFrozen && holder !== lease?.holder) ?? this.holders.find(holder => !holder.isFrozen)
    if (next !== undefined) this.grantLease(next)
  }

  private grantLease (holder: SimulatedHolder): void {
    this.fencing += 1
    this.lease = { holder, renewedAt: this.now }
    holder.fencing = this.fencing
    holder.validUntil = this.now + LEASE_MS.holder
    holder.dispatchEvent({ kind: 'taken', fencing: this.fencing })
  }

  private count (): void {
    for (const model of Object.keys(this.config.models)) {
      const serving = this.serving(model)
      if (serving < (this.config.models[model]?.copies ?? this.declared(model))) this.shortMs += STEP_MS
      if (serving === 0) this.absentMs += STEP_MS
    }
  }

  /** Records an unload that leaves fewer copies than declared, by the recent configuration that declares the fewest. */
  private checkUnload (runner: string, { model, fencing, orderId }: PlacementOrder): void {
    if (fencing < this.fencing && !this.engine(runner).options.checksFencing) return
    const recentConfigs = [this.config, ...this.configs.filter(({ until }) => until > this.now - RECENT_MS).map(({ config }) => config)]
    const minDeclared = Math.min(...recentConfigs.map(config => this.declared(model, config)))
    const remaining = [...this.engines].filter(([name, engine]) => {
      const isLongUnreachable = !engine.isReachable && engine.goneAt < this.now - RECENT_MS
      return name !== runner && !isLongUnreachable && (engine.hasModel(model) || !engine.isReachable)
    })
    const wasEligible = recentConfigs.some(config => config.runners[runner]?.models.includes(model))
    if (wasEligible && remaining.length < minDeclared) this.harmfulUnloads.push(`${this.now}: ${orderId} left ${remaining.length} of ${minDeclared}`)
  }
}
