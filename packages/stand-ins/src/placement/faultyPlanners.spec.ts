/**
 * Planners with one deliberate fault each, for counter-examples: a test has to fail with them. It holds no tests.
 */
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import type { LoadedModel, PlacementAction, PlacementDecider, PlacementEvent, PlacementLimits } from '@rosemaryspread/decisions/placement/placementTypes.js'
import { defaultPlacementLimits } from '@rosemaryspread/decisions/placement/placementTypes.js'

/** Modifies the events and actions of the product's planner. */
abstract class FaultyPlanner implements PlacementDecider {
  protected readonly inner: PlacementDecider

  constructor (limits: Partial<PlacementLimits> = {}) {
    this.inner = new PlacementPlanner({ ...defaultPlacementLimits, ...limits })
  }

  abstract handle (event: PlacementEvent, now: Instant): readonly PlacementAction[]
}

/** Reuses the id of an earlier order with the same content. */
export class ContentIdPlanner extends FaultyPlanner {
  private readonly actualIds = new Map<string, string>()

  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    const translated = event.kind === 'answered' ? { ...event, orderId: this.actualIds.get(event.orderId) ?? event.orderId } : event
    return this.inner.handle(translated, now).map(action => {
      const orderId = action.order.orderId.replace(/^(placement\/\d+\/[^/]+)\/\d+/, '$1')
      this.actualIds.set(orderId, action.order.orderId)
      return { ...action, order: { ...action.order, orderId } }
    })
  }
}

/** Assumes that an order, once reported as carried out, stays in effect, and ignores later reports. */
export class NoReadBackPlanner extends FaultyPlanner {
  private readonly assumedModels = new Map<string, readonly LoadedModel[]>()
  private readonly ordered = new Map<string, string>()

  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    const actions = this.inner.handle(event.kind === 'reported' ? this.replaceReport(event) : event, now)
    for (const { runner, order } of actions) if (order.kind === 'load') this.ordered.set(runner, order.version)
    return actions
  }

  private replaceReport (event: Extract<PlacementEvent, { kind: 'reported' }>): PlacementEvent {
    const { runner, models } = event
    if (models.some(({ version }) => version === this.ordered.get(runner))) {
      this.ordered.delete(runner)
      this.assumedModels.set(runner, models)
    }
    return { ...event, models: this.assumedModels.get(runner) ?? models }
  }
}

/** Does not announce its fencing number to engines before it sends orders. */
export class NoFencingAnnouncementPlanner extends FaultyPlanner {
  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    const actions = this.inner.handle(event, now)
    const announcements = actions.filter(({ order }) => order.kind === 'role')
    const followUps = announcements.flatMap(({ order }) => this.inner.handle({ kind: 'answered', orderId: order.orderId, outcome: { kind: 'done' } }, now))
    return [...actions, ...followUps].filter(({ order }) => order.kind !== 'role')
  }
}

/** Drops an order whose answer was lost, and plans again. */
export class ForgetfulPlanner extends FaultyPlanner {
  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    const isLost = event.kind === 'answered' && event.outcome.kind === 'unknown'
    return this.inner.handle(isLost ? { ...event, outcome: { kind: 'refused', retryAfterMs: 0 } } : event, now)
  }
}

/** Retries at once when the weight store is at its rate limit. */
export class ImpatientPlanner extends FaultyPlanner {
  constructor () {
    super({ weightsPerMinute: 6_000, weightsBurst: 100, refusalBackoffMs: 0 })
  }

  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    const isLimited = event.kind === 'answered' && event.outcome.kind === 'refused'
    return this.inner.handle(isLimited ? { ...event, outcome: { kind: 'refused' } } : event, now)
  }
}

/** Acts on the latest report without hysteresis. */
export class NoHysteresisPlanner extends FaultyPlanner {
  constructor () {
    super({ downAfterMs: 2_500, stabilizationMs: 0, surplusMs: 0 })
  }

  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    return this.inner.handle(event, now)
  }
}

/** Ignores that a runner is leaving. */
export class IgnoresLeavingPlanner extends FaultyPlanner {
  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    if (event.kind !== 'configured') return this.inner.handle(event.kind === 'reported' ? { ...event, leaving: false } : event, now)
    const runners = Object.fromEntries(Object.entries(event.config.runners).map(([runner, cfg]) => [runner, { ...cfg, state: 'active' as const }]))
    return this.inner.handle({ kind: 'configured', config: { ...event.config, runners } }, now)
  }
}
