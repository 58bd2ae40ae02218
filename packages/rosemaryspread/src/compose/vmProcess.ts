/**
 * Lifecycle of one VM process: ordered start, periodic work, and graceful drain.
 */
import { setTimeout as pause } from 'node:timers/promises'
import type { Container } from 'inversify'
import { Left, Right, type Either } from 'purify-ts'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { serveBudgetPeers } from '../budget/budgetPeerCalls.js'
import { FETCH_METHOD, PUSH_METHOD } from '../config/configPropagation.js'
import { ids } from './serviceIds.js'

const BUDGET_TICK_MS = 100
const QUEUE_TICK_MS = 50
/** Interval at which the schedule of load polls is checked. */
const POLL_TICK_MS = 250
/** Interval of recovering the allotments of terminated holders. */
const RECOVERY_INTERVAL_MS = 5_000
const ARCHIVE_INTERVAL_MS = 300_000
/** Role whose candidates recover the allotments of terminated holders and archive old bills. */
const RECOVERY_ROLE = 'recovery'
const PLACEMENT_TICK_MS = 1_000
/** Interval of retrying to settle runs whose cost is unknown. */
const UNSETTLED_RETRY_MS = 1_000

/** Starts, drains and stops the services of one container. */
export class VmProcess {
  private readonly log: EventLog
  private readonly timers: NodeJS.Timeout[] = []

  constructor (private readonly container: Container) {
    this.log = container.get(ids.log)
  }

  /**
   * Starts the servers and timers, then joins the fleet unless the VM is drained meanwhile; fails with `settingsInvalid` when it cannot
   * listen on an address.
   */
  async start (): Promise<Either<Failure, void>> {
    const settings = this.container.get(ids.settings)
    const identity = this.container.get(ids.identity)
    this.subscribeToConfig()
    this.registerPeerMethods()
    try {
      await this.container.get(ids.peerServer).listen(settings.listen.peers)
      await this.container.get(ids.adminServer).listen(settings.listen.operators)
      await this.container.get(ids.callerServer).listen(settings.listen.callers)
    } catch (err) {
      return Left(new Failure('settingsInvalid', `cannot listen on the configured addresses: ${toFailure(err).message}`, { ran: 'no' }))
    }
    this.log.write('started', { ...identity })
    this.startTimers()
    await this.container.get(ids.configStore).load()
    await this.join()
    return Right(undefined)
  }

  /** Refuses new work, finishes open requests and returns leases and allotments. Resolves to false on timeout. */
  async drain (): Promise<boolean> {
    const work = this.container.get(ids.work)
    const { drainTimeoutMs, drainLingerMs } = this.container.get(ids.settings)
    work.draining = true
    this.log.write('draining', { open: work.openCount() })
    this.container.get(ids.callerServer).linger()
    await Promise.all([this.container.get(ids.members).announceLeaving(), pause(drainLingerMs)])
    const released = this.completesWithin(this.container.get(ids.placementLease).release(), drainTimeoutMs)
    const isIdle = await work.waitUntilIdle(drainTimeoutMs)
    await this.container.get(ids.callerServer).close()
    const settled = await this.completesWithin(this.container.get(ids.budgets).drain(), drainTimeoutMs)
    await released
    await this.stop()
    this.log.write('stopped', { open: work.openCount(), interrupted: work.openCount(), settled })
    return isIdle && settled
  }

  /**
   * Drains and exits because another process runs under this VM's name.
   * @param successor - holder id of that process
   */
  handleReplaced (successor: string): void {
    this.log.write('peerSeen', { peer: this.container.get(ids.identity).vm, state: 'replaced', evidence: successor })
    this.drain()
      .then(() => process.exit(0))
      .catch(() => process.exit(1))
  }

  /** Joins the fleet, unless the VM was drained while its start waited for the table. */
  private async join (): Promise<void> {
    const work = this.container.get(ids.work)
    if (work.draining) return
    const propagation = this.container.get(ids.configPropagation)
    this.container.get(ids.versionHints).onHint(() => { this.runInBackground(propagation.poll()) })
    propagation.start()
    await this.container.get(ids.members).start()
    if (!work.draining) this.container.get(ids.placementLease).start()
  }

  private subscribeToConfig (): void {
    const routing = this.container.get(ids.routing)
    const teamKeys = this.container.get(ids.teamKeys)
    const operatorKeys = this.container.get(ids.operatorKeys)
    this.container.get(ids.configStore).onChange(({ config }) => {
      teamKeys.replace(Object.entries(config.teams).map(([team, { keyHashes }]) => [team, keyHashes]))
      operatorKeys.replace(Object.entries(config.operators).map(([operator, { keyHashes }]) => [operator, keyHashes]))
      routing.configure(config)
    })
  }

  private registerPeerMethods (): void {
    const server = this.container.get(ids.peerServer)
    const propagation = this.container.get(ids.configPropagation)
    server.register(PUSH_METHOD, async params => await propagation.onPush(params))
    server.register(FETCH_METHOD, async params => await propagation.onFetch(params))
    serveBudgetPeers(server, this.container.get(ids.budgets))
  }

  private startTimers (): void {
    const budgets = this.container.get(ids.budgets)
    const poller = this.container.get(ids.poller)
    const routing = this.container.get(ids.routing)
    const unsettled = this.container.get(ids.unsettled)
    this.schedule(BUDGET_TICK_MS, async () => { budgets.tick() })
    this.schedule(POLL_TICK_MS, async () => { await poller.poll() })
    this.schedule(QUEUE_TICK_MS, async () => { routing.tick() })
    this.schedule(RECOVERY_INTERVAL_MS, async () => { await this.recoverHolders() })
    this.schedule(ARCHIVE_INTERVAL_MS, async () => { await this.archiveBills() })
    this.schedule(PLACEMENT_TICK_MS, async () => { await this.container.get(ids.placement).tick() })
    this.schedule(UNSETTLED_RETRY_MS, async () => { await unsettled.retryAll() })
  }

  /** Concurrent passes of several VMs are safe: conditional writes on row versions resolve conflicts. */
  private async recoverHolders (): Promise<void> {
    if (!this.container.get(ids.members).isCandidate(RECOVERY_ROLE)) return
    const list = await this.container.get(ids.vmList).list()
    await this.container.get(ids.budgets).recoverTerminated(list.toMaybe().extract())
  }

  private async archiveBills (): Promise<void> {
    if (!this.container.get(ids.members).isCandidate(RECOVERY_ROLE)) return
    await this.container.get(ids.billArchive).pass()
  }

  private schedule (ms: number, task: () => Promise<void>): void {
    this.timers.push(setInterval(() => { this.runInBackground(task()) }, ms))
  }

  private runInBackground (task: Promise<void>): void {
    task.catch((err: unknown) => { this.log.write('fault', { err: toFailure(err).message }) })
  }

  private async completesWithin (task: Promise<void>, ms: number): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<boolean>(resolve => { timer = setTimeout(() => { resolve(false) }, ms) })
    return await Promise.race([task.then(() => true), timeout]).finally(() => { clearTimeout(timer) })
  }

  private async stop (): Promise<void> {
    this.timers.forEach(timer => { clearInterval(timer) })
    this.container.get(ids.configPropagation).stop()
    this.container.get(ids.placementLease).stop()
    this.container.get(ids.members).stop()
    await this.container.get(ids.adminServer).close()
    this.container.get(ids.peerClient).close()
    await this.container.get(ids.peerServer).close()
  }
}
