/**
 * Lets calls wait, in the order and for as long as {@link ServiceAdmission} decides, before tokens are reserved for them.
 * A refusal here means that nothing of the call has run.
 */
import { Left, Right, type Either } from 'purify-ts'
import { AdaptiveLimit } from '@rosemaryspread/decisions/admission/adaptiveLimit.js'
import type { AdmissionRequest, AdmittedPlace, LimitRule } from '@rosemaryspread/decisions/admission/admissionTypes.js'
import { AimdRule, GradientRule } from '@rosemaryspread/decisions/admission/limitRules.js'
import { ServiceAdmission } from '@rosemaryspread/decisions/admission/serviceAdmission.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { RandomSource } from '../completion/completionPorts.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { AdmittedCall, CallPlace, LoadAdmission } from './callTypes.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** Retry-After of calls that wait when this VM starts to drain. */
const DRAINING_RETRY_MS = 100

type AdmissionSettings = NonNullable<GatewaySettings['admission']>

export interface CallAdmissionDeps {
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: EventLog
  readonly metrics: Metrics
  readonly settings: AdmissionSettings
  /** Share of busy time of the event loop in the latest window. */
  busyRatio (): number
}

/** A call until it is started or refused. */
class PendingCall {
  private timer: NodeJS.Timeout | undefined
  private onGone: (() => void) | undefined

  constructor (private readonly gone: AbortSignal, readonly settled: (result: Either<Failure, AdmittedPlace<PendingCall>>) => void) {}

  /**
   * Waits to be settled.
   * @param onDue - called after the given milliseconds
   * @param onGone - called when the caller disconnects
   */
  wait (milliseconds: number, onDue: () => void, onGone: () => void): void {
    this.timer = setTimeout(onDue, Math.max(1, Math.ceil(milliseconds) + 1))
    this.onGone = onGone
    this.gone.addEventListener('abort', onGone)
    if (this.gone.aborted) onGone()
  }

  settle (result: Either<Failure, AdmittedPlace<PendingCall>>): void {
    clearTimeout(this.timer)
    if (this.onGone !== undefined) this.gone.removeEventListener('abort', this.onGone)
    this.settled(result)
  }
}

interface Service {
  readonly name: string
  readonly admission: ServiceAdmission<PendingCall>
  isLimited: boolean
}

export class CallAdmission implements LoadAdmission {
  private readonly services = new Map<string, Service>()
  private isDraining = false

  constructor (private readonly deps: CallAdmissionDeps) {
    deps.metrics.gauge('admission_waiting', () => this.sum(({ admission }) => admission.waiting))
    deps.metrics.gauge('admission_limit', () => this.lowestLimit())
  }

  async admit (admitted: AdmittedCall): Promise<Either<Failure, CallPlace>> {
    const service = this.serviceOf(admitted.service)
    const offeredAt = this.now
    const place = await new Promise<Either<Failure, AdmittedPlace<PendingCall>>>(resolve => { this.offer(service, admitted, resolve) })
    this.deps.metrics.record('admission_wait_ms', this.now - offeredAt)
    return place.map(each => new ServicePlace(each, service.admission, this.deps.clock, () => { this.advance(service) }))
  }

  /** To be called several times a second. */
  tick (): void {
    for (const service of this.services.values()) this.advance(service)
  }

  /** Refuses the calls that wait, and from now on those that would. */
  drain (): void {
    this.isDraining = true
    for (const { admission } of this.services.values()) {
      for (const { value } of admission.removeAll()) value.settle(Left(drainingFailure()))
    }
  }

  private offer (service: Service, admitted: AdmittedCall, resolve: PendingCall['settled']): void {
    const { admission } = service
    const pending = new PendingCall(admitted.call.gone, resolve)
    const request = requestOf(admitted, pending)
    const outcome = admission.offer(request, this.now, this.deps.random.next())
    if (outcome.kind === 'started') pending.settle(Right(outcome.place))
    if (outcome.kind === 'refused') pending.settle(Left(outcome.failure))
    if (outcome.kind !== 'waits') return
    this.deps.metrics.count('admission_waits')
    pending.wait(outcome.latestStart - this.now, () => { this.advance(service) }, () => {
      if (admission.remove(request)) pending.settle(Left(new Failure('callerGone', 'the caller closed the connection while the call waited', { ran: 'no' })))
    })
    if (this.isDraining) this.drain()
  }

  private advance (service: Service): void {
    const { admission } = service
    const { started, refused } = admission.advance(this.now, this.deps.busyRatio(), () => this.deps.random.next())
    for (const place of started) place.request.value.settle(Right(place))
    for (const { request, failure } of refused) request.value.settle(Left(failure))
    this.reportLimit(service)
  }

  private reportLimit (service: Service): void {
    const { name, admission, isLimited } = service
    if ((admission.currentLimit < Infinity) === isLimited) return
    service.isLimited = !isLimited
    const { currentLimit: limit, waiting, inFlight } = admission
    this.deps.log.write('callsLimited', { service: name, isLimited: service.isLimited, limit: service.isLimited ? Math.round(limit) : undefined, waiting, inFlight, busyRatio: this.deps.busyRatio() })
  }

  private serviceOf (name: string): Service {
    const existing = this.services.get(name)
    if (existing !== undefined) return existing
    const service = { name, admission: new ServiceAdmission<PendingCall>(new AdaptiveLimit(ruleOf(this.deps.settings))), isLimited: false }
    this.services.set(name, service)
    return service
  }

  private sum (value: (service: Service) => number): number {
    return [...this.services.values()].reduce((sum, service) => sum + value(service), 0)
  }

  private lowestLimit (): number {
    const limit = Math.min(...[...this.services.values()].map(({ admission }) => admission.currentLimit))
    return Number.isFinite(limit) ? Math.floor(limit) : 0
  }

  private get now (): number {
    return this.deps.clock.now().mono
  }
}

/** The place of one call; what frees room lets the next call start. */
class ServicePlace implements CallPlace {
  constructor (private readonly place: AdmittedPlace<PendingCall>, private readonly admission: ServiceAdmission<PendingCall>, private readonly clock: Clock, private readonly onFreed: () => void) {}

  sent (): void {
    this.admission.sent(this.place, this.clock.now().mono)
  }

  firstOutput (): void {
    this.admission.firstOutput(this.place, this.clock.now().mono)
    this.onFreed()
  }

  ended (): void {
    this.admission.ended(this.place)
    this.onFreed()
  }
}

function requestOf ({ call, team, priority, route, deadline }: AdmittedCall, value: PendingCall): AdmissionRequest<PendingCall> {
  return { team: team ?? '', priority, objectiveMs: route.objectiveMs, receivedAt: call.receivedAt.mono, deadline, value }
}

function ruleOf ({ limit }: AdmissionSettings): LimitRule {
  return limit === 'aimd' ? new AimdRule() : new GradientRule()
}

function drainingFailure (): Failure {
  return new Failure('draining', 'the call waited when this VM started to drain', { ran: 'no', retryAfterMs: DRAINING_RETRY_MS })
}
