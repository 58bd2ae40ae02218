/**
 * Orders whose effect is awaited, one for each runner. An order whose outcome is open is sent
 * again under its id, so that the engine carries it out once; one that was carried out and does
 * not show in the reports is forgotten, and decided anew under another id.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { LoadedModel, PlacementAction, PlacementLimits, PlacementOrder, PlacementOutcome } from './placementTypes.js'

/** An order on its way. */
interface AwaitedOrder {
  readonly action: PlacementAction
  /** `sent`: no answer yet. `open`: the outcome is not known. `done`: not yet seen in a report. */
  state: 'sent' | 'open' | 'done'
  readonly firstSentAt: Instant
  changedAt: Instant
  sendings: number
}

/** Awaited orders of all runners. */
export class OrderBook {
  private readonly awaited = new Map<string, AwaitedOrder>()
  /** Refusals by runner and model. */
  private readonly refusals = new Map<string, Map<string, Instant>>()

  /** @param limits - times */
  constructor (private readonly limits: PlacementLimits) {}

  get size (): number {
    return this.awaited.size
  }

  of (runner: string): PlacementOrder | undefined {
    return this.awaited.get(runner)?.action.order
  }

  /**
   * Models of which a runner refused orders a short while ago.
   * @param runner - the runner
   * @param now - both clocks
   */
  blocked (runner: string, now: Instant): readonly string[] {
    const refusals = [...this.refusals.get(runner) ?? []]
    return refusals.filter(([, at]) => elapsedMs(at, now) < this.limits.refusedMs).map(([model]) => model)
  }

  sent (action: PlacementAction, now: Instant): void {
    this.awaited.set(action.runner, { action, state: 'sent', firstSentAt: now, changedAt: now, sendings: 1 })
  }

  /**
   * Takes the outcome of an order.
   * @returns the order's action, if the order is still awaited
   */
  answered (orderId: string, outcome: PlacementOutcome, now: Instant): PlacementAction | undefined {
    const found = [...this.awaited.values()].find(({ action }) => action.order.orderId === orderId)
    if (found === undefined) return undefined
    found.changedAt = now
    if (outcome.kind === 'done') found.state = 'done'
    else if (outcome.kind === 'unknown' || outcome.kind === 'notSent') found.state = 'open'
    else this.refused(found.action, outcome, now)
    return found.action
  }

  /**
   * Compares a report with what is awaited of its runner.
   * @param runner - the runner
   * @param models - what it has loaded
   */
  reported (runner: string, models: readonly LoadedModel[]): void {
    const found = this.awaited.get(runner)
    if (found !== undefined && found.state !== 'sent' && shows(models, found.action.order)) this.awaited.delete(runner)
  }

  /**
   * Forgets what was awaited too long.
   * @returns the orders to send again
   */
  expire (now: Instant): readonly PlacementAction[] {
    const again: PlacementAction[] = []
    for (const [runner, order] of this.awaited) {
      if (order.state === 'done' && elapsedMs(order.changedAt, now) >= this.limits.confirmMs) this.awaited.delete(runner)
      if (order.state !== 'open' || elapsedMs(order.changedAt, now) < this.retryMs(order)) continue
      if (elapsedMs(order.firstSentAt, now) >= this.limits.giveUpMs) this.giveUp(order, now)
      else again.push(this.resend(order, now))
    }
    return again
  }

  /**
   * Forgets orders that the configuration no longer asks for, but for those on the wire.
   * @param isWanted - whether an order still leads to what is declared
   */
  keepOnly (isWanted: (order: PlacementOrder) => boolean): void {
    for (const [runner, { action, state }] of this.awaited) {
      if (state !== 'sent' && !isWanted(action.order)) this.awaited.delete(runner)
    }
  }

  drop (runner: string): void {
    this.awaited.delete(runner)
  }

  clear (): void {
    this.awaited.clear()
    this.refusals.clear()
  }

  private retryMs ({ sendings }: AwaitedOrder): number {
    return this.limits.retryMs * 2 ** Math.min(sendings - 1, this.limits.maxDoublings)
  }

  private refused (action: PlacementAction, outcome: PlacementOutcome, now: Instant): void {
    this.awaited.delete(action.runner)
    if (outcome.kind === 'refused' && outcome.retryAfterMs !== undefined) return
    this.block(action, now)
  }

  private giveUp ({ action }: AwaitedOrder, now: Instant): void {
    this.awaited.delete(action.runner)
    this.block(action, now)
  }

  private block ({ runner, order }: PlacementAction, now: Instant): void {
    const refusals = this.refusals.get(runner) ?? new Map<string, Instant>()
    refusals.set(order.model, now)
    this.refusals.set(runner, refusals)
  }

  private resend (order: AwaitedOrder, now: Instant): PlacementAction {
    order.state = 'sent'
    order.changedAt = now
    order.sendings += 1
    return order.action
  }
}

/** Whether what is loaded shows the effect of an order. */
function shows (models: readonly LoadedModel[], { kind, model, version, adapter }: PlacementOrder): boolean {
  const loaded = models.find(item => item.model === model)
  if (kind === 'unload') return loaded?.version !== version
  if (kind === 'load') return loaded?.version === version
  return loaded?.version === version && adapter !== undefined && loaded.adapters.includes(adapter)
}
