/**
 * Tracks the pending order of each runner. An order with an unknown outcome is resent under the same id, so that
 * the engine executes it once. An executed order that does not appear in reports is discarded and decided again
 * under a new id.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { LoadedModel, PlacementAction, PlacementLimits, PlacementOrder, PlacementOutcome } from './placementTypes.js'

/** An order whose effect is awaited. */
interface PendingOrder {
  readonly action: PlacementAction
  /** `sent`: awaiting the response. `open`: outcome unknown. `done`: executed, not yet seen in a report. */
  state: 'sent' | 'open' | 'done'
  readonly firstSentAt: Instant
  changedAt: Instant
  attempts: number
}

export class PendingOrders {
  private readonly byRunner = new Map<string, PendingOrder>()
  /** Time of the last refusal by runner and model. */
  private readonly refusals = new Map<string, Map<string, Instant>>()

  constructor (private readonly limits: PlacementLimits) {}

  get size (): number {
    return this.byRunner.size
  }

  of (runner: string): PlacementOrder | undefined {
    return this.byRunner.get(runner)?.action.order
  }

  /** Models of which the runner recently refused an order. */
  blockedModels (runner: string, now: Instant): readonly string[] {
    const refusals = [...this.refusals.get(runner) ?? []]
    return refusals.filter(([, at]) => elapsedMs(at, now) < this.limits.refusalBackoffMs).map(([model]) => model)
  }

  sent (action: PlacementAction, now: Instant): void {
    this.byRunner.set(action.runner, { action, state: 'sent', firstSentAt: now, changedAt: now, attempts: 1 })
  }

  /**
   * Handles the outcome of an order.
   * @returns the order's action; undefined when the order is no longer pending
   */
  answered (orderId: string, outcome: PlacementOutcome, now: Instant): PlacementAction | undefined {
    const pending = [...this.byRunner.values()].find(({ action }) => action.order.orderId === orderId)
    if (pending === undefined) return undefined
    pending.changedAt = now
    if (outcome.kind === 'done') pending.state = 'done'
    else if (outcome.kind === 'unknown' || outcome.kind === 'notSent') pending.state = 'open'
    else this.refused(pending.action, outcome, now)
    return pending.action
  }

  /** Removes the pending order of a runner when a report shows its effect. */
  reported (runner: string, models: readonly LoadedModel[]): void {
    const pending = this.byRunner.get(runner)
    if (pending !== undefined && pending.state !== 'sent' && isReflectedIn(models, pending.action.order)) this.byRunner.delete(runner)
  }

  /**
   * Discards orders whose wait timed out.
   * @returns the orders to resend
   */
  expire (now: Instant): readonly PlacementAction[] {
    const resends: PlacementAction[] = []
    for (const [runner, order] of this.byRunner) {
      if (order.state === 'done' && elapsedMs(order.changedAt, now) >= this.limits.confirmMs) this.byRunner.delete(runner)
      if (order.state !== 'open' || elapsedMs(order.changedAt, now) < this.retryMs(order)) continue
      if (elapsedMs(order.firstSentAt, now) >= this.limits.abandonMs) this.abandon(order, now)
      else resends.push(this.resend(order, now))
    }
    return resends
  }

  /** Discards orders that the configuration no longer requires, except those awaiting a response. */
  retainWhere (isWanted: (order: PlacementOrder) => boolean): void {
    for (const [runner, { action, state }] of this.byRunner) {
      if (state !== 'sent' && !isWanted(action.order)) this.byRunner.delete(runner)
    }
  }

  discard (runner: string): void {
    this.byRunner.delete(runner)
  }

  clear (): void {
    this.byRunner.clear()
    this.refusals.clear()
  }

  private retryMs ({ attempts }: PendingOrder): number {
    return this.limits.retryMs * 2 ** Math.min(attempts - 1, this.limits.maxDoublings)
  }

  private refused (action: PlacementAction, outcome: PlacementOutcome, now: Instant): void {
    this.byRunner.delete(action.runner)
    if (outcome.kind === 'refused' && outcome.retryAfterMs !== undefined) return
    this.block(action, now)
  }

  private abandon ({ action }: PendingOrder, now: Instant): void {
    this.byRunner.delete(action.runner)
    this.block(action, now)
  }

  private block ({ runner, order }: PlacementAction, now: Instant): void {
    const refusals = this.refusals.get(runner) ?? new Map<string, Instant>()
    refusals.set(order.model, now)
    this.refusals.set(runner, refusals)
  }

  private resend (order: PendingOrder, now: Instant): PlacementAction {
    order.state = 'sent'
    order.changedAt = now
    order.attempts += 1
    return order.action
  }
}

/** Whether the loaded models reflect the effect of an order. */
function isReflectedIn (models: readonly LoadedModel[], { kind, model, version, adapter }: PlacementOrder): boolean {
  const loaded = models.find(item => item.model === model)
  if (kind === 'unload') return loaded?.version !== version
  if (kind === 'load') return loaded?.version === version
  return loaded?.version === version && adapter !== undefined && loaded.adapters.includes(adapter)
}
