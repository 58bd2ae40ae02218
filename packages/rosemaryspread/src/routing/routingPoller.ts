/**
 * Asks the runners for their load reports and cache events, and tells the decider.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { RouteDecider, RunnerView } from '@rosemaryspread/decisions/routing/routingTypes.js'
import type { EngineClient, LoadReport } from '@rosemaryspread/runners/engine/engineTypes.js'

/** What the poller is composed of. */
export interface PollerDeps {
  readonly decider: RouteDecider
  readonly engines: EngineClient
  /** The runners whose reports this VM asks for. */
  readonly watched: () => readonly RunnerView[]
  readonly clock: Clock
  readonly log: EventLog
}

/** Polls every watched runner once a round. */
export class RunnerPoller {
  private readonly nextCacheEvent = new Map<string, number>()
  private readonly leaving = new Set<string>()
  private busy = false

  constructor (private readonly deps: PollerDeps) {}

  /** Asks all runners once; a round that is still open is not doubled. */
  async poll (): Promise<void> {
    if (this.busy) return
    this.busy = true
    try {
      await Promise.all(this.deps.watched().map(async ({ runner, address }) => { await this.pollRunner(runner, address) }))
    } finally {
      this.busy = false
    }
  }

  private async pollRunner (runner: string, address: string): Promise<void> {
    const load = await this.deps.engines.load(address)
    load.ifRight(report => { this.tellLoad(runner, report) })
    const after = this.nextCacheEvent.get(runner) ?? 0
    const cache = await this.deps.engines.cacheEvents(address, after)
    cache.ifRight(({ next, events }) => {
      this.nextCacheEvent.set(runner, next)
      const hashes = (kind: string): string[] => events.filter(event => event.kind === kind).map(({ prefixHash }) => prefixHash)
      const event = { kind: 'cacheReported', runner, stored: hashes('stored'), evicted: hashes('evicted') } as const
      this.deps.decider.observe(event, this.deps.clock.now())
    })
  }

  private tellLoad (runner: string, report: LoadReport): void {
    const now = this.deps.clock.now()
    const { running, waiting, leaving } = report
    const models = report.models.map(({ model }) => model)
    const reportAgeMs = Math.max(0, now.wall - report.asOf)
    this.deps.decider.observe({ kind: 'loadReported', runner, running, waiting, reportAgeMs, leaving, models }, now)
    this.noteLeaving(runner, leaving)
  }

  private noteLeaving (runner: string, leaving: boolean): void {
    if (leaving === this.leaving.has(runner)) return
    if (leaving) this.leaving.add(runner)
    else this.leaving.delete(runner)
    this.deps.log.write('runnerState', { runner, state: leaving ? 'leaving' : 'active', reason: 'the runner says so' })
  }
}
