/**
 * The gateway of one VM: composes its parts over what the edge binds (table, feeds, client of the
 * targets), keeps their timers, and stops gracefully.
 */
import 'reflect-metadata'
import { setTimeout as pause } from 'node:timers/promises'
import { Container } from 'inversify'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { GRANT_METHOD, grantMethod, HANDOVER_METHOD, handoverMethod } from '../budget/budgetGrantCalls.js'
import { QUARANTINE_METHOD } from '../quarantine/quarantineSync.js'
import { gatewayIds as ids } from './gatewayIds.js'
import { bindGateway, type GatewayEdge } from './bindGateway.js'
import { BudgetPreparation } from './budgetPreparation.js'
import { FrontWatch, loopBusyMs, loopTurns } from './frontWatch.js'
import { PacedTicks } from './pacedTicks.js'
import { WORK_METHOD, workMethod } from './workNotices.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** Milliseconds between two ticks of budgets, presence and targets; each wakes the process. */
const TICK_MS = 150
/** The same while a request waits for tokens, or this VM does not serve yet. */
const URGENT_TICK_MS = 50
/** Milliseconds between two passes over what ended holders held. */
const RECOVERY_MS = 4_000
/** Milliseconds before earlier processes of this VM are looked for again: the store may be out of reach at the start. */
const TAKE_OVER_RETRY_MS = 300
/** Part of the grace time for which a stopping VM serves callers that do not know of it yet. */
const LINGER_PART = 0.25
/** Milliseconds for the last bytes of answers to leave the process. */
const FLUSH_MS = 50
/** Part of the grace time after which requests still open are given up. */
const FINISH_PART = 0.85

/** The gateway of one VM. */
export class GatewayVm {
  readonly container = new Container()
  private readonly log: EventLog
  private readonly timers: NodeJS.Timeout[] = []
  private ticks: PacedTicks | undefined

  /**
   * @param settings - settings of the VM
   * @param edge - what reaches the platform and the targets
   */
  constructor (private readonly settings: GatewaySettings, edge: GatewayEdge) {
    bindGateway(this.container, settings, edge)
    this.log = this.container.get(ids.log)
    this.container.bind(ids.frontWatch).toResolvedValue((clock, log, metrics) =>
      new FrontWatch({ clock, log, metrics, turns: loopTurns, busyMs: loopBusyMs, isReady: () => this.isReady }), [ids.clock, ids.log, ids.metrics]).inSingletonScope()
  }

  /** Whether callers may be sent here: configuration and quarantine were read and no stop was ordered. */
  get isReady (): boolean {
    return this.container.get(ids.config).current() !== undefined && this.container.get(ids.quarantineShare).isLoaded && !this.container.get(ids.work).draining
  }

  get clock (): Clock {
    return this.container.get(ids.clock)
  }

  /** Starts what works in the background. */
  start (): void {
    const budgets = this.container.get(ids.budgets)
    const presence = this.container.get(ids.presence)
    const digest = this.container.get(ids.digest)
    const targets = this.container.get(ids.targets)
    this.container.get(ids.config).onPaidChanged((team, isLowered) => { budgets.paidChanged(team, isLowered) })
    const quarantine = this.container.get(ids.quarantine)
    const metrics = this.container.get(ids.metrics)
    metrics.gauge('domains_evacuated', () => targets.evacuated().length)
    metrics.gauge('targets_paused', () => targets.paused)
    metrics.gauge('memory_bytes', () => process.memoryUsage.rss())
    presence.start()
    this.container.get(ids.quarantineShare).start()
    const preparation = new BudgetPreparation(this.settings.vm, budgets)
    const frontWatch = this.container.get(ids.frontWatch)
    const tick = async (): Promise<void> => {
      frontWatch.tick()
      const prepared = this.container.get(ids.config).current()
      if (prepared !== undefined && this.isReady && presence.isSettled) preparation.tick(prepared.config, this.clock.now().mono)
      budgets.tick()
      targets.tick()
      quarantine.tick()
      if (this.isReady) await presence.publishState('serving')
      presence.setOverloaded(frontWatch.isPressed)
      presence.tick()
      digest.tick()
    }
    const ticks = new PacedTicks({
      clock: this.clock,
      urgentMs: URGENT_TICK_MS,
      paceMs: () => budgets.isWaiting || !this.isReady ? URGENT_TICK_MS : TICK_MS,
      run: () => { this.inBackground(tick()) }
    })
    this.ticks = ticks
    budgets.onWaiting(() => { ticks.hurry() })
    ticks.start()
    this.every(RECOVERY_MS, async () => { await budgets.recoverTerminated() })
    this.openLinks()
    this.inBackground(this.takeOver())
    this.log.write('started', { ...this.settings })
  }

  /**
   * Stops gracefully: callers are sent elsewhere, open requests are finished, tokens go back.
   * Resolves when the process may end, at the latest shortly before the grace time is over.
   * @param stopAccepting - closes connections without a request and takes no new ones
   */
  async drain (stopAccepting: () => void): Promise<void> {
    const work = this.container.get(ids.work)
    const startedAt = this.clock.now().mono
    const leftMs = (): number => Math.max(0, this.settings.graceMs * FINISH_PART - (this.clock.now().mono - startedAt))
    work.draining = true
    this.log.write('draining', { open: work.openCount() })
    this.inBackground(this.container.get(ids.presence).publishState('leaving'))
    await pause(this.settings.graceMs * LINGER_PART)
    stopAccepting()
    await work.waitUntilIdle(leftMs())
    await Promise.race([this.handBack(), pause(leftMs())])
    // Requests that came on open connections meanwhile are answered too, and the last bytes are on their way.
    await work.waitUntilIdle(leftMs())
    await pause(FLUSH_MS)
    this.container.get(ids.quarantineShare).stop()
    await this.container.get(ids.links).close()
    this.ticks?.stop()
    this.timers.forEach(timer => { clearInterval(timer) })
    this.log.write('stopped', { open: work.openCount() })
  }

  private openLinks (): void {
    const links = this.container.get(ids.links)
    const budgets = this.container.get(ids.budgets)
    const balancer = this.container.get(ids.balancer)
    links.serve(GRANT_METHOD, grantMethod(ask => budgets.onGrantRequest(ask)))
    links.serve(HANDOVER_METHOD, handoverMethod((budget, tokens) => { budgets.onHandover(budget, tokens) }))
    links.serve(WORK_METHOD, workMethod(notice => { balancer.recordPeerWork(notice, this.clock.now().mono) }))
    links.serve(QUARANTINE_METHOD, this.container.get(ids.quarantineShare).method())
    this.inBackground(links.open())
  }

  /** What earlier processes of this VM held is missing to everybody until it is taken back. */
  private async takeOver (): Promise<void> {
    const budgets = this.container.get(ids.budgets)
    while (!this.container.get(ids.work).draining && !await budgets.recoverPredecessors()) await pause(TAKE_OVER_RETRY_MS)
  }

  private async handBack (): Promise<void> {
    await this.container.get(ids.budgets).drain()
    this.container.get(ids.digest).stop()
    await this.container.get(ids.presence).leave()
  }

  private every (ms: number, work: () => Promise<void>): void {
    this.timers.push(setInterval(() => { this.inBackground(work()) }, ms))
  }

  private inBackground (work: Promise<void>): void {
    work.catch((err: unknown) => { this.log.write('fault', { err: toFailure(err).message }) })
  }
}
