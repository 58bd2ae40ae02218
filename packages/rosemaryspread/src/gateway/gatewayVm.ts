/**
 * The gateway of one VM: composes it over the ports to the platform and the targets, runs its timers, and
 * stops it gracefully.
 */
import 'reflect-metadata'
import { setTimeout as pause } from 'node:timers/promises'
import { Container } from 'inversify'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { SpareCapacity } from '@rosemaryspread/decisions/load/spareCapacity.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { HAND_BACK_METHOD, handBackMethod } from '../budget/grantReturnCalls.js'
import { GRANT_METHOD, grantMethod, HANDOVER_METHOD, handoverMethod } from '../budget/budgetGrantCalls.js'
import { QUARANTINE_METHOD } from '../quarantine/quarantineSync.js'
import { gatewayIds as ids } from './gatewayIds.js'
import { bindGateway, type GatewayPorts } from './bindGateway.js'
import { BudgetPreparation } from './budgetPreparation.js'
import type { CallAdmission } from './callAdmission.js'
import { IngressMonitor, loopBusyMs, loopTurns } from './ingressMonitor.js'
import { PacedTicks } from './pacedTicks.js'
import { REFUSED_METHOD, refusedMethod } from './refusedNotifications.js'
import { WORK_METHOD, workMethod } from './workNotifications.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** Interval between two ticks of budgets, presence and targets; each wakes the process. */
const TICK_MS = 150
/** Interval while a request waits for tokens, or while this VM is not ready. */
const URGENT_TICK_MS = 50
/** Interval between two recovery passes over the allotments of terminated holders. */
const RECOVERY_INTERVAL_MS = 4_000
/** Delay before the recovery from earlier processes of this VM is retried: the store may be unreachable at startup. */
const PREDECESSOR_RETRY_MS = 300
/** Share of the grace time during which a stopping VM serves callers that do not know of it yet. */
const LINGER_RATIO = 0.25
/** Time for the last bytes of answers to leave the process. */
const ANSWER_FLUSH_MS = 50
/** Share of the grace time after which open requests are abandoned. */
const FINISH_RATIO = 0.85

/** Connections when an ingress closes. */
export interface ClosedIngress {
  /** Connections closed between two requests. */
  readonly idle: number
  /** Open connections that have received nothing yet. */
  readonly unused: number
  /** Open connections on which the head of a request is being received. */
  readonly receiving: number
}

/** The ingress of a VM that drains. */
export interface DrainedIngress {
  /** Closes idle connections and accepts no new ones. */
  close (): ClosedIngress
  /** Refuses the requests that are being received and may not be sent any more. */
  refuseUnsendable (): void
  /** Resolves to true once all answers have left the process, or to false after the timeout. */
  untilAnswersSent (timeoutMs: number): Promise<boolean>
}

export class GatewayVm {
  readonly container = new Container()
  private readonly log: EventLog
  private readonly timers: NodeJS.Timeout[] = []
  private ticks: PacedTicks | undefined

  constructor (private readonly settings: GatewaySettings, ports: GatewayPorts) {
    bindGateway(this.container, settings, ports)
    this.log = this.container.get(ids.log)
    this.container.bind(ids.ingressMonitor).toResolvedValue((clock, log, metrics) =>
      new IngressMonitor({ clock, log, metrics, turns: loopTurns, busyMs: loopBusyMs, isReady: () => this.isReady }), [ids.clock, ids.log, ids.metrics]).inSingletonScope()
  }

  /** Whether callers may be sent here: configuration and quarantine are loaded and the VM is not draining. */
  get isReady (): boolean {
    return this.container.get(ids.config).current() !== undefined && this.container.get(ids.quarantineSync).isLoaded && !this.container.get(ids.work).draining
  }

  get clock (): Clock {
    return this.container.get(ids.clock)
  }

  private get admission (): CallAdmission | undefined {
    return this.container.isBound(ids.admission) ? this.container.get(ids.admission) : undefined
  }

  /** Starts the background work. */
  start (): void {
    const budgets = this.container.get(ids.budgets)
    const presence = this.container.get(ids.presence)
    const digest = this.container.get(ids.digest)
    const targets = this.container.get(ids.targets)
    const paths = this.container.get(ids.paths)
    const chooser = this.container.get(ids.chooser)
    const directClient = this.container.get(ids.directClient)
    this.container.get(ids.config).onPaidChanged((team, isLowered) => { budgets.paidChanged(team, isLowered) })
    const quarantine = this.container.get(ids.quarantine)
    const streams = this.container.get(ids.streams)
    const versionRows = this.container.get(ids.versionRows)
    const metrics = this.container.get(ids.metrics)
    metrics.gauge('domains_evacuated', () => targets.evacuated().length)
    metrics.gauge('services_unreachable', () => paths.lost.length)
    metrics.gauge('targets_paused', () => targets.paused)
    metrics.gauge('targets_ejected', () => this.container.get(ids.balancer).ejected(this.clock.now().mono))
    metrics.gauge('vms_advertised', () => presence.addresses({ caller: this.settings.vm, domain: this.settings.domain, region: this.settings.region }).length)
    metrics.gauge('memory_bytes', () => process.memoryUsage.rss())
    const bodies = this.container.get(ids.requestBodies)
    const callPlaces = this.container.get(ids.callPlaces)
    metrics.gauge('calls_open', () => callPlaces.open)
    const heads = this.container.get(ids.requestHeads)
    metrics.gauge('request_head_bytes', () => heads.heldBytes)
    metrics.gauge('request_head_bound_bytes', () => heads.maxBytes)
    metrics.gauge('request_body_bytes', () => bodies.heldBytes)
    metrics.gauge('request_body_bound_bytes', () => bodies.maxBytes)
    metrics.gauge('answer_buffer_bytes', () => this.container.get(ids.answerBuffers).heldBytes)
    presence.start()
    this.container.get(ids.quarantineSync).start()
    const preparation = new BudgetPreparation(this.settings.vm, budgets)
    const ingressMonitor = this.container.get(ids.ingressMonitor)
    const spareCapacity = new SpareCapacity()
    const admission = this.admission
    const forwarder = this.container.isBound(ids.forwarder) ? this.container.get(ids.forwarder) : undefined
    const tick = async (): Promise<void> => {
      ingressMonitor.tick()
      admission?.tick()
      forwarder?.tick()
      const prepared = this.container.get(ids.config).current()
      if (prepared !== undefined && this.isReady && presence.isSettled) preparation.tick(prepared.config, this.clock.now().mono)
      budgets.tick()
      targets.tick()
      versionRows.tick()
      streams.tick()
      paths.tick()
      directClient.tick()
      chooser.tick()
      quarantine.tick()
      if (this.isReady) await presence.publishState('serving')
      presence.setOverloaded(ingressMonitor.isPressed)
      spareCapacity.update(ingressMonitor, this.clock.now().mono)
      presence.setSpareCapacity(spareCapacity.hasSpare)
      presence.setUnreachable(paths.lost)
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
    budgets.onWaiting(() => { ticks.expedite() })
    ticks.start()
    this.repeatEvery(RECOVERY_INTERVAL_MS, async () => { await budgets.recoverTerminated() })
    this.openLinks()
    this.inBackground(this.recoverPredecessors())
    this.log.write('started', { ...this.settings })
  }

  /**
   * Stops gracefully: sends callers elsewhere, finishes open requests and returns tokens. Resolves when the
   * process may exit, at the latest shortly before the end of the grace time.
   */
  async drain (ingress: DrainedIngress): Promise<void> {
    const work = this.container.get(ids.work)
    const startedAt = this.clock.now().mono
    const leftMs = (): number => Math.max(0, this.settings.graceMs * FINISH_RATIO - (this.clock.now().mono - startedAt))
    work.draining = true
    this.limitDrain(startedAt)
    this.log.write('draining', { open: work.openCount() })
    this.admission?.drain()
    this.inBackground(this.container.get(ids.presence).publishState('leaving'))
    await pause(this.settings.graceMs * LINGER_RATIO)
    this.log.write('ingressClosed', { ...ingress.close(), open: work.openCount() })
    ingress.refuseUnsendable()
    await work.waitUntilIdle(leftMs())
    await Promise.race([this.returnState(), pause(leftMs())])
    // Requests that arrived on open connections meanwhile are finished as well, and their last bytes are sent.
    await work.waitUntilIdle(leftMs())
    await ingress.untilAnswersSent(leftMs())
    // A request that arrives from now on could not be finished.
    if (this.settings.lateRequests === 'refuse') this.container.get(ids.drainLimit).close()
    ingress.refuseUnsendable()
    await pause(ANSWER_FLUSH_MS)
    await this.stop()
    this.log.write('stopped', { open: work.openCount() })
  }

  /** Ends the background work at once, and accepts no more requests. */
  async stop (): Promise<void> {
    this.container.get(ids.work).draining = true
    this.ticks?.stop()
    this.timers.forEach(timer => { clearInterval(timer) })
    this.container.get(ids.quarantineSync).stop()
    this.container.get(ids.digest).stop()
    await this.container.get(ids.links).close()
  }

  private limitDrain (startedAt: number): void {
    const { graceMs, lateRequests } = this.settings
    if (lateRequests === 'serve') return
    this.container.get(ids.drainLimit).begin({ lingerUntil: startedAt + graceMs * LINGER_RATIO, cutAt: startedAt + graceMs * FINISH_RATIO })
  }

  private openLinks (): void {
    const links = this.container.get(ids.links)
    const budgets = this.container.get(ids.budgets)
    const balancer = this.container.get(ids.balancer)
    links.serve(GRANT_METHOD, grantMethod(request => budgets.onGrantRequest(request)))
    links.serve(HANDOVER_METHOD, handoverMethod((budget, tokens) => { budgets.onHandover(budget, tokens) }))
    links.serve(HAND_BACK_METHOD, handBackMethod(grants => budgets.onHandBack(grants)))
    links.serve(WORK_METHOD, workMethod(notification => { balancer.recordPeerWork(notification, this.clock.now().mono) }))
    links.serve(REFUSED_METHOD, refusedMethod(({ target, service }) => { balancer.refusedElsewhere(target, service, this.clock.now().mono) }))
    links.serve(QUARANTINE_METHOD, this.container.get(ids.quarantineSync).method())
    for (const [name, method] of this.container.get(ids.relayServer).methods()) links.serve(name, method)
    for (const [name, method] of this.container.get(ids.streams).methods()) links.serve(name, method)
    this.inBackground(links.open())
  }

  /** Retries until the tokens of earlier processes of this VM are recovered; no VM can use them before. */
  private async recoverPredecessors (): Promise<void> {
    const budgets = this.container.get(ids.budgets)
    while (!this.container.get(ids.work).draining && !await budgets.recoverPredecessors()) await pause(PREDECESSOR_RETRY_MS)
  }

  private async returnState (): Promise<void> {
    await this.container.get(ids.budgets).drain()
    this.container.get(ids.digest).stop()
    await this.container.get(ids.presence).leave()
  }

  private repeatEvery (ms: number, work: () => Promise<void>): void {
    this.timers.push(setInterval(() => { this.inBackground(work()) }, ms))
  }

  private inBackground (work: Promise<void>): void {
    work.catch((err: unknown) => { this.log.write('fault', { err: toFailure(err).message }) })
  }
}
