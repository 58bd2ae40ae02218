/**
 * Polls runners for their load reports and, where this VM sends requests, for their cache events, and
 * passes both to the route decider. The schedule limits the number of calls.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { PollSchedule } from '@rosemaryspread/decisions/routing/pollSchedule.js'
import type { RouteDecider, RunnerView } from '@rosemaryspread/decisions/routing/routingTypes.js'
import type { EngineClient, LoadReport } from '@rosemaryspread/runners/engine/engineTypes.js'

export interface RunnerPollerDeps {
  readonly decider: RouteDecider
  readonly schedule: PollSchedule
  readonly engines: Pick<EngineClient, 'load' | 'cacheEvents'>
  /** The runners that this VM polls. */
  readonly watched: () => readonly RunnerView[]
  /** Number of VMs in the fleet. */
  readonly vms: () => number
  readonly clock: Clock
}

export class RunnerPoller {
  private readonly nextCacheEvent = new Map<string, number>()

  constructor (private readonly deps: RunnerPollerDeps) {}

  /** Polls the runners that are due; to be called several times a second. */
  async poll (): Promise<void> {
    const watched = new Map(this.deps.watched().map(view => [view.runner, view.address]))
    const due = this.deps.schedule.due([...watched.keys()], this.deps.vms(), this.deps.clock.now().mono)
    await Promise.all(due.map(async ({ runner, isUsed }) => {
      const address = watched.get(runner) ?? ''
      await this.pollLoad(runner, address)
      if (isUsed) await this.pollCacheEvents(runner, address)
    }))
  }

  private async pollLoad (runner: string, address: string): Promise<void> {
    const load = await this.deps.engines.load(address)
    load.ifRight(report => { this.observeLoad(runner, report) })
  }

  private async pollCacheEvents (runner: string, address: string): Promise<void> {
    const cache = await this.deps.engines.cacheEvents(address, this.nextCacheEvent.get(runner) ?? 0)
    cache.ifRight(({ next, events }) => {
      this.nextCacheEvent.set(runner, next)
      const hashes = (kind: string): string[] => events.filter(event => event.kind === kind).map(({ prefixHash }) => prefixHash)
      const event = { kind: 'cacheReported', runner, stored: hashes('stored'), evicted: hashes('evicted') } as const
      this.deps.decider.observe(event, this.deps.clock.now())
    })
  }

  private observeLoad (runner: string, report: LoadReport): void {
    const now = this.deps.clock.now()
    const { running, waiting, leaving } = report
    const models = report.models.map(({ model }) => model)
    const reportAgeMs = Math.max(0, now.wall - report.asOf)
    this.deps.decider.observe({ kind: 'loadReported', runner, running, waiting, reportAgeMs, leaving, models }, now)
  }
}
