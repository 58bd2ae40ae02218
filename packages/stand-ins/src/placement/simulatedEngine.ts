/**
 * An engine in virtual time, for placement only. Loading takes time, during which the model does not serve; reports lag;
 * the engine may be down, cut off or leaving.
 */
import type { PlacementOrder, PlacementOutcome } from '@rosemaryspread/decisions/placement/placementTypes.js'
import type { LoadReport } from '@rosemaryspread/runners/engine/engineTypes.js'
import { LaggingValue } from '../control/laggingValue.js'
import { EngineModels } from '../engine/engineModels.js'
import type { TokenBucket } from '../weights/tokenBucket.js'

const MS_PER_SECOND = 1_000

export interface SimulatedEngineOptions {
  readonly domain: string
  readonly models: readonly string[]
  readonly checksFencing: boolean
  readonly loadMs: number
  readonly lagMs: number
}

export class SimulatedEngine {
  isDown = false
  isCut = false
  isLeaving = false
  /** Number of upcoming orders that take effect but whose answer is lost. */
  loseAnswers = 0
  /** Since when it is down or cut off. */
  goneAt = 0
  models: EngineModels
  private readonly loading = new Map<string, { readonly order: PlacementOrder, readonly endsAt: number }>()
  private laggingReport: LaggingValue<LoadReport['models']>

  /**
   * @param weights - rate limit of the weight store
   * @param onUnload - called before a model is unloaded
   */
  constructor (readonly options: SimulatedEngineOptions, private readonly weights: TokenBucket, private readonly onUnload: (order: PlacementOrder) => void) {
    this.models = new EngineModels(options.models, options.checksFencing)
    this.laggingReport = new LaggingValue(this.models.report, 0, options.lagMs)
  }

  get isReachable (): boolean {
    return !this.isDown && !this.isCut
  }

  /** Whether any version of the model is loaded. */
  hasModel (model: string): boolean {
    return this.models.serves(model)
  }

  /** Whether the model serves in this version, or in any; a model that is being loaded does not. */
  serves (model: string, version?: string): boolean {
    const isLoading = [...this.loading.values()].some(({ order }) => order.kind === 'load' && order.model === model)
    const isLoaded = this.models.report.some(item => item.model === model && (version === undefined || item.version === version))
    return !this.isDown && isLoaded && !isLoading
  }

  /** Crashes the process; it restarts with nothing loaded. */
  crash (now: number): void {
    this.isDown = true
    this.goneAt = now
    this.loading.clear()
    this.models = new EngineModels([], this.options.checksFencing)
    this.laggingReport = new LaggingValue(this.models.report, now, this.options.lagMs)
  }

  /** Completes the loads that end by `now`. */
  advance (now: number): void {
    for (const [id, { order, endsAt }] of this.loading) {
      if (endsAt > now) continue
      this.loading.delete(id)
      this.models.execute(order)
      this.laggingReport.set(this.models.report, now)
    }
  }

  /** The models as reported, delayed by `lagMs`. */
  report (now: number): LoadReport['models'] {
    return this.laggingReport.valueAt(now).value
  }

  /** Receives an order. A load is answered only after it ends, so its outcome here is `unknown`. */
  receive (order: PlacementOrder, now: number): PlacementOutcome {
    const outcome = this.execute(order, now)
    if (outcome.kind !== 'done' || this.loseAnswers === 0) return outcome
    this.loseAnswers -= 1
    return { kind: 'unknown' }
  }

  private execute (order: PlacementOrder, now: number): PlacementOutcome {
    if (this.loading.has(order.orderId)) return { kind: 'unknown' }
    if (this.models.needsWeights(order)) return this.load(order, now)
    if (order.kind === 'unload' && this.models.report.some(({ model, version }) => model === order.model && version === order.version)) this.onUnload(order)
    const outcome = this.models.execute(order)
    this.laggingReport.set(this.models.report, now)
    if (outcome === 'oldFencing') return { kind: 'oldFencing' }
    return { kind: outcome === 'done' ? 'done' : 'refused' }
  }

  private load (order: PlacementOrder, now: number): PlacementOutcome {
    const waitMs = this.weights.tryAcquire(now)
    if (waitMs > 0) return { kind: 'refused', retryAfterMs: Math.ceil(waitMs / MS_PER_SECOND) * MS_PER_SECOND }
    this.loading.set(order.orderId, { order, endsAt: now + this.options.loadMs })
    return { kind: 'unknown' }
  }
}
