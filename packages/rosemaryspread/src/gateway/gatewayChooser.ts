/** Chooses targets for the gateway: those that the register lists, by the balancer. */
import { Left, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { PlaceSharing } from '@rosemaryspread/decisions/gateway/placeLimits.js'
import type { Suspicion, TargetBalancer, TargetChoice, TargetDemand, WorkNotification } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { AvailableTargets } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { RandomSource } from '../completion/completionPorts.js'
import { pathLostFailure } from '../paths/pathLostFailure.js'
import { isStateReport } from './callReport.js'
import type { AdmittedCall, TargetChooser, TargetVerdict } from './callTypes.js'
import type { TargetDirectory } from './gatewayTypes.js'
import { PlaceQueue } from './placeQueue.js'
import type { RefusedNotification } from './refusedNotifications.js'

/** Operators evacuate and restore domains by hand, so an earlier retry is of no use. */
const EVACUATED_RETRY_MS = 1_000

export interface ChooserParts {
  readonly targets: TargetDirectory
  readonly balancer: TargetBalancer
  readonly clock: Clock
  readonly log: EventLog
  readonly random: RandomSource
  /** Name of this VM. */
  readonly vm: string
  /** Whether neither this VM nor another one for it can reach a service. */
  isUnreachable (service: string): boolean
  /** Names of the VMs that share the load of targets that warm up; empty until they are known. */
  vms (): readonly string[]
  /** Notifies other VMs of a large request. */
  notifyPeers (notification: WorkNotification): void
  /** Notifies other VMs of a refusal for want of room. */
  notifyRefused (refused: RefusedNotification): void
}

/** Chooses by the balancer and notifies other VMs of large requests. */
export class GatewayChooser implements TargetChooser {
  private readonly queue = new PlaceQueue()

  constructor (private readonly parts: ChooserParts) {}

  choose (admitted: AdmittedCall, exclude: ReadonlySet<string>, suspicion?: Suspicion, version?: string): Either<Failure, TargetChoice> {
    const { balancer, random } = this.parts
    const { service, call, sharedParts, sharedTokens } = admitted
    const available = this.parts.targets.available(service)
    const refusal = this.refusalFor(service, available)
    if (refusal !== undefined) return Left(refusal)
    if (this.parts.isUnreachable(service)) return Left(pathLostFailure('no'))
    const demand: TargetDemand = {
      sharedParts,
      sharedTokens,
      unsharedTokens: Math.max(0, call.promptTokens - sharedTokens),
      exclude,
      sharing: this.sharing,
      ...this.warmUpDemand(admitted),
      ...(suspicion === undefined ? {} : { suspicion }),
      ...(version === undefined ? {} : { version })
    }
    return balancer.choose(available.targets, demand, this.mono, random.next()).map(choice => ({ ...choice, paused: available.pausesMs.length }))
  }

  refusal ({ service }: AdmittedCall): Failure | undefined {
    return this.refusalFor(service, this.parts.targets.available(service))
  }

  sent (choice: TargetChoice, { sharedParts }: AdmittedCall): number {
    const { ticket, notification } = this.parts.balancer.sent(choice, sharedParts, this.mono)
    if (notification !== undefined) this.parts.notifyPeers(notification)
    return ticket
  }

  endPrefill ({ target }: TargetChoice, ticket: number, isAnswered: boolean): void {
    this.parts.balancer.endPrefill(target.id, ticket, isAnswered, this.mono)
  }

  recordReport ({ target }: TargetChoice, report: TargetReport): void {
    if (report.refusalLimit !== undefined) this.limitPlaces(target, report.refusalLimit)
    if (isStateReport(report)) this.parts.targets.recordReport(target, report)
  }

  refused ({ target: { id, service } }: TargetChoice): void {
    if (this.parts.balancer.refused(id, service, this.mono)) this.parts.notifyRefused({ target: id, service })
  }

  async untilRoom ({ service, priority, route: { objectiveMs }, call: { receivedAt } }: AdmittedCall, maxWaitMs: number): Promise<boolean> {
    const places = this.parts.balancer.placesAt(this.parts.targets.available(service).targets)
    return await this.queue.wait({ service, priority, objectiveMs, ageMs: this.mono - receivedAt.mono, maxWaitMs }, places)
  }

  /** Lets requests that wait for a place try again; to be called several times a second. */
  tick (): void {
    this.queue.tick()
  }

  ended ({ target }: TargetChoice, verdict: TargetVerdict): void {
    this.parts.balancer.ended(target.id, verdict, this.mono)
    this.queue.wake(target.service)
  }

  private refusalFor (service: string, { targets, pausesMs }: AvailableTargets): Failure | undefined {
    if (this.parts.targets.isEvacuated(service)) {
      return new Failure('domainsEvacuated', 'all targets of the service are in evacuated failure domains', { ran: 'no', retryAfterMs: EVACUATED_RETRY_MS })
    }
    if (targets.length > 0 || pausesMs.length === 0) return undefined
    // Each caller gets the end of a random target's pause, so that not all of them retry at the earliest one.
    const retryAfterMs = pausesMs[Math.floor(this.parts.random.next() * pausesMs.length)]
    return new Failure('targetsPaused', 'all targets of the service have paused this VM', { ran: 'no', retryAfterMs })
  }

  private limitPlaces ({ id, service }: TargetChoice['target'], refusalLimit: number): void {
    if (this.parts.balancer.limitPlaces(service, refusalLimit, this.mono)) this.parts.log.write('placesLimited', { service, refusalLimit, runner: id })
  }

  private get sharing (): PlaceSharing {
    const { vm, vms, random } = this.parts
    return { vm, vms, random: () => random.next() }
  }

  private warmUpDemand ({ warmUpPerS: perS }: AdmittedCall): Pick<TargetDemand, 'warmUp'> {
    return perS === undefined ? {} : { warmUp: { perS, vm: this.parts.vm, vms: () => this.parts.vms() } }
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}
