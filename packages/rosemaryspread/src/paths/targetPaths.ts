/**
 * Checks whether this VM reaches the targets of a service, by connections to several of them, and goes on checking while it reaches none.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { rotated, ServicePaths } from '@rosemaryspread/decisions/gateway/servicePaths.js'
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { RandomSource } from '../completion/completionPorts.js'
import type { TargetEndProbe, TargetProbe } from '../gateway/callTypes.js'

/** Time within which a connection is accepted on a working path; it takes a few milliseconds. */
const PROBE_TIMEOUT_MS = 200
/** Interval between two checks of a lost path. */
const RECHECK_MS = 300
/** Targets probed in each of them. */
const RECHECK_PROBES = 4

export interface TargetPathsParts {
  readonly clock: Clock
  readonly log: EventLog
  readonly random: RandomSource
  readonly probe: TargetProbe
  /** Targets of a service that accept requests. */
  targets (service: string): ReadonlyArray<Pick<TargetView, 'id' | 'address'>>
  /** Names of all services that have targets. */
  services (): readonly string[]
  /** Called when the path to a service was lost or found again. */
  onChanged (service: string): void
}

/** Paths of this VM to the targets. */
export class TargetPaths implements TargetEndProbe {
  private readonly paths = new ServicePaths()
  private readonly checks = new Map<string, Promise<void>>()
  private nextRecheckAt = 0

  constructor (private readonly parts: TargetPathsParts) {}

  /** Services none of whose targets can be reached. */
  get lost (): readonly string[] {
    return this.paths.lost
  }

  isLost (service: string): boolean {
    return this.paths.isLost(service)
  }

  /**
   * Records that no connection to a target could be made, and checks the others. The result is awaited only from the second target on, so that
   * a request whose target has terminated goes on to the next one without delay.
   * @returns whether the path to the service is known to be lost
   */
  async handleFailed (service: string, target: string): Promise<boolean> {
    this.paths.recordFailed(service, target, this.mono)
    const check = this.check(service)
    if (this.paths.isDoubtful(service, this.parts.targets(service).map(({ id }) => id), this.mono)) return await check
    this.inBackground(check)
    return false
  }

  /**
   * Checks the path to a service.
   * @returns whether it is lost
   */
  async check (service: string): Promise<boolean> {
    const running = this.checks.get(service) ?? this.startCheck(service)
    await running
    return this.isLost(service)
  }

  /** While the path is lost, connections to targets that still run may be refused as well. */
  async isTerminated (address: string, service: string, timeoutMs: number): Promise<boolean> {
    return !this.isLost(service) && await this.parts.probe.isRefused(address, timeoutMs) && !await this.check(service)
  }

  /** Checks lost paths again; to be called several times a second. */
  tick (): void {
    if (this.lost.length === 0 || this.mono < this.nextRecheckAt) return
    this.nextRecheckAt = this.mono + RECHECK_MS
    for (const service of this.lost) this.inBackground(this.recheck(service))
  }

  private startCheck (service: string): Promise<void> {
    const check = this.collectEvidence(service).finally(() => { this.checks.delete(service) })
    this.checks.set(service, check)
    return check
  }

  private async collectEvidence (service: string): Promise<void> {
    while (!this.isLost(service)) {
      const targets = this.parts.targets(service)
      const ids = targets.map(({ id }) => id)
      const next = this.paths.toProbe(service, ids, this.mono, this.parts.random.next())
      if (next.length === 0) return this.conclude(service, ids)
      if (await this.probe(service, targets.filter(({ id }) => next.includes(id)))) return
    }
  }

  /** Whether any of the targets accepts a connection. */
  private async probe (service: string, targets: ReadonlyArray<Pick<TargetView, 'id' | 'address'>>): Promise<boolean> {
    const accepted = await Promise.all(targets.map(async ({ address }) => await this.parts.probe.canConnect(address, PROBE_TIMEOUT_MS)))
    if (accepted.includes(true)) {
      if (this.paths.recordConnected(service)) this.reportChange(service, targets.length)
      return true
    }
    for (const { id } of targets) this.paths.recordFailed(service, id, this.mono)
    return false
  }

  private conclude (service: string, ids: readonly string[]): void {
    if (!this.paths.conclude(service, ids, this.mono)) return
    this.nextRecheckAt = this.mono + RECHECK_MS
    this.reportChange(service, ids.length)
    // The other services are likely to be lost for the same reason.
    for (const other of this.parts.services()) if (!this.isLost(other)) this.inBackground(this.check(other))
  }

  private async recheck (service: string): Promise<void> {
    const targets = this.parts.targets(service)
    await this.probe(service, rotated(targets, this.parts.random.next()).slice(0, RECHECK_PROBES))
  }

  private reportChange (service: string, probed: number): void {
    this.parts.log.write('targetPath', { service, isLost: this.isLost(service), probed })
    this.parts.onChanged(service)
  }

  private inBackground (work: Promise<unknown>): void {
    work.catch((err: unknown) => { this.parts.log.write('fault', { err: toFailure(err).message }) })
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}
