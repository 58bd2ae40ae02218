/**
 * Models, adapters and role of the engine, and the orders that change them. An engine that checks fencing
 * numbers refuses an order with a lower number than an earlier order; others carry out any order.
 */
import type { EngineOrder, LoadReport } from '@rosemaryspread/runners/engine/engineTypes.js'

/** How an order ended. */
export type OrderOutcome = 'done' | 'oldFencing' | 'notLoaded'

/** An order and its outcome, for the state dump. */
export interface OrderRecord {
  readonly order: EngineOrder
  readonly outcome: OrderOutcome
}

interface LoadedModel {
  readonly version: string
  readonly adapters: Set<string>
}

/** Models, adapters and role of one engine. */
export class EngineModels {
  readonly orders: OrderRecord[] = []
  private readonly loaded = new Map<string, LoadedModel>()
  private readonly done = new Set<string>()
  private fencing = 0
  private role = 'both'

  /**
   * @param models - initially loaded, as `model` or `model@version`
   * @param checksFencing - whether stale fencing numbers are refused
   */
  constructor (models: readonly string[], private readonly checksFencing: boolean) {
    for (const name of models) {
      const [model = name, version = '1'] = name.split('@')
      this.loaded.set(model, { version, adapters: new Set() })
    }
  }

  /** Whether a model, and the adapter if given, is loaded. */
  serves (model: string, adapter?: string): boolean {
    const found = this.loaded.get(model)
    return found !== undefined && (adapter === undefined || found.adapters.has(adapter))
  }

  /** Whether an order has to fetch weights first. */
  needsWeights (order: EngineOrder): boolean {
    if (this.done.has(order.orderId) || this.isStale(order)) return false
    if (order.kind === 'load') return this.loaded.get(order.model)?.version !== order.version
    return order.kind === 'loadAdapter' && this.serves(order.model) && !this.serves(order.model, order.adapter)
  }

  /** Carries out an order whose weights have been fetched. Idempotent by order id. */
  execute (order: EngineOrder): OrderOutcome {
    if (this.done.has(order.orderId)) return 'done'
    const outcome = this.isStale(order) ? 'oldFencing' : this.change(order)
    this.orders.push({ order, outcome })
    if (outcome === 'done') this.done.add(order.orderId)
    if (outcome !== 'oldFencing') this.fencing = order.fencing
    return outcome
  }

  /** Models in the form of the load report. */
  get report (): LoadReport['models'] {
    return [...this.loaded].map(([model, { version, adapters }]) => ({ model, version, adapters: [...adapters] }))
  }

  /** State dump for tests. */
  get state (): unknown {
    return { models: this.report, role: this.role, fencing: this.fencing, orders: this.orders }
  }

  private isStale (order: EngineOrder): boolean {
    return this.checksFencing && order.fencing < this.fencing
  }

  private change (order: EngineOrder): OrderOutcome {
    if (order.kind === 'load') return this.load(order)
    if (order.kind === 'unload') return this.unload(order)
    if (order.kind === 'loadAdapter') return this.loadAdapter(order)
    this.role = order.role ?? this.role
    return 'done'
  }

  private load ({ model, version }: EngineOrder): OrderOutcome {
    if (this.loaded.get(model)?.version !== version) this.loaded.set(model, { version, adapters: new Set() })
    return 'done'
  }

  private unload ({ model, version }: EngineOrder): OrderOutcome {
    if (this.loaded.get(model)?.version === version) this.loaded.delete(model)
    return 'done'
  }

  private loadAdapter ({ model, version, adapter }: EngineOrder): OrderOutcome {
    const found = this.loaded.get(model)
    if (found === undefined || found.version !== version || adapter === undefined) return 'notLoaded'
    found.adapters.add(adapter)
    return 'done'
  }
}
