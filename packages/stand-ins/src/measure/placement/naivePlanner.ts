/**
 * Baseline planner: compares the declared state with the latest reports and orders all differences
 * at once. It ignores failure domains, versions in use, rate limits and flapping runners.
 */
import { elapsedMs, type Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { FleetConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { LoadedModel, PlacementAction, PlacementDecider, PlacementEvent, PlacementOrder } from '@rosemaryspread/decisions/placement/placementTypes.js'

/** A runner without a report for this long counts as down. */
const DOWN_MS = 3_000

/** Orders all differences at once. */
export class NaivePlanner implements PlacementDecider {
  private config: FleetConfig | undefined
  private fencing: number | undefined
  private round = 0
  private readonly reports = new Map<string, { readonly models: readonly LoadedModel[], readonly at: Instant }>()

  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    if (event.kind === 'configured') this.config = event.config
    if (event.kind === 'taken') this.fencing = event.fencing
    if (event.kind === 'lost') this.fencing = undefined
    if (event.kind === 'reported' && !event.leaving) this.reports.set(event.runner, { models: event.models, at: now })
    return event.kind === 'tick' ? this.all(now) : []
  }

  private all (now: Instant): readonly PlacementAction[] {
    if (this.config === undefined || this.fencing === undefined) return []
    this.round += 1
    return Object.entries(this.config.models).flatMap(([model, { version, copies }]) => {
      const eligible = this.eligibleRunners(model, now)
      const chosen = eligible.slice(0, copies ?? eligible.length)
      return [
        ...eligible.filter(runner => !chosen.includes(runner)).flatMap(runner => this.unload(runner, model)),
        ...chosen.flatMap(runner => this.load(runner, model, version))
      ]
    })
  }

  private eligibleRunners (model: string, now: Instant): readonly string[] {
    return Object.entries(this.config?.runners ?? {})
      .filter(([runner, { models, state }]) => state === 'active' && models.includes(model) && this.isUp(runner, now))
      .map(([runner]) => runner)
  }

  private isUp (runner: string, now: Instant): boolean {
    const report = this.reports.get(runner)
    return report !== undefined && elapsedMs(report.at, now) < DOWN_MS
  }

  private findLoaded (runner: string, model: string): LoadedModel | undefined {
    return this.reports.get(runner)?.models.find(item => item.model === model)
  }

  private load (runner: string, model: string, version: string): readonly PlacementAction[] {
    return this.findLoaded(runner, model)?.version === version ? [] : [this.order(runner, 'load', model, version)]
  }

  private unload (runner: string, model: string): readonly PlacementAction[] {
    const loaded = this.findLoaded(runner, model)
    return loaded === undefined ? [] : [this.order(runner, 'unload', model, loaded.version)]
  }

  private order (runner: string, kind: PlacementOrder['kind'], model: string, version: string): PlacementAction {
    const order = { orderId: `${this.fencing}/${runner}/${this.round}/${kind}/${model}@${version}`, fencing: this.fencing ?? 0, kind, model, version }
    return { kind: 'order', runner, address: this.config?.runners[runner]?.address ?? '', order, reason: 'differs' }
  }
}
