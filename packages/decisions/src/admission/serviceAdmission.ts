/**
 * Admission of the calls of one service at one VM: which start, which wait and which are refused, as few enough are in
 * flight before their first output. A call waits only while the limit binds, and is refused once its turn is expected
 * too late for its objective.
 */
import { Ewma } from '../routing/ewma.js'
import { DecayingSum } from '../clock/decayingSum.js'
import type { Failure } from '../codes/failure.js'
import { BUSY_RATIO } from './adaptiveLimit.js'
import { AdmissionQueue, type WaitingRequest } from './admissionQueue.js'
import { fullFailure, lateTurnFailure, type Excess } from './admissionRefusal.js'
import type { AdmissionOutcome, AdmissionRequest, AdmittedPlace, ConcurrencyLimit, RefusedRequest } from './admissionTypes.js'

/** Calls that may wait for one service. */
const MAX_WAITING = 256
/** Share of the objective from which a call counts as slow, as it leaves too little for any wait. */
const SLOW_RATIO = 0.6
/** Share of the objective that the expected time to the first output may take from the wait. */
const MAX_EXPECTED_RATIO = 0.8
/** Share of the time left that an expected wait may use up; the rest covers errors of the estimate. */
const MAX_WAIT_SHARE = 0.6
/** Time for which arrivals and refusals count as recent. */
const RECENT_MS = 1_000
/** A call that waits longer than this for tokens does not count towards the limit meanwhile. */
const TOKEN_GRACE_MS = 50
/** Shortest interval between two looks at calls that others overtook. */
const REVIEW_INTERVAL_MS = 25

/** What became due. */
export interface DueCalls<T> {
  readonly started: ReadonlyArray<AdmittedPlace<T>>
  readonly refused: ReadonlyArray<RefusedRequest<T>>
}

export class ServiceAdmission<T> {
  private readonly queue = new AdmissionQueue<T>()
  private readonly open = new Set<AdmittedPlace<T>>()
  private readonly latency = new Ewma()
  private readonly arrivals = new Map<number, DecayingSum>()
  private readonly refusals = new DecayingSum(RECENT_MS)
  private counted = 0
  private reviewedAt = -Infinity

  constructor (private readonly limit: ConcurrencyLimit) {}

  get waiting (): number {
    return this.queue.waiting
  }

  /** Calls in flight before their first output. */
  get inFlight (): number {
    return this.counted
  }

  /** Calls that may be in flight; Infinity while there is no sign of load. */
  get currentLimit (): number {
    return this.limit.current
  }

  /**
   * Starts a call, lets it wait or refuses it.
   * @param random - in [0, 1); spreads Retry-After
   */
  offer (request: AdmissionRequest<T>, now: number, random: number): AdmissionOutcome<T> {
    this.countArrival(request.priority, now)
    if (this.hasRoom && this.queue.waiting === 0) return { kind: 'started', place: this.start(request, now) }
    const latestStart = this.latestStart(request)
    const failure = this.refusal(request, latestStart, now, random)
    if (failure !== undefined) return { kind: 'refused', failure }
    this.queue.add(request, latestStart)
    return { kind: 'waits', latestStart }
  }

  /** Records that a started call was sent to a target, which its wait for tokens may have delayed. */
  sent (place: AdmittedPlace<T>, now: number): void {
    if (place.sentAt !== undefined) return
    place.sentAt = now
    if (!place.isReported) this.setCounted(place, true)
  }

  firstOutput (place: AdmittedPlace<T>, now: number): void {
    this.report(place, now)
    this.ended(place)
  }

  /** Records the end of a started call; may follow its first output. */
  ended (place: AdmittedPlace<T>): void {
    this.open.delete(place)
    this.setCounted(place, false)
  }

  /** Drops a waiting call; false if it does not wait. */
  remove (request: AdmissionRequest<T>): boolean {
    return this.queue.removeIf(item => item.request === request).length > 0
  }

  /** Removes and returns all waiting calls. */
  removeAll (): ReadonlyArray<AdmissionRequest<T>> {
    return this.queue.removeIf(() => true).map(({ request }) => request)
  }

  /**
   * Follows the load, and starts and refuses what is due; to be called several times a second and after each end.
   * @param busyRatio - share of busy time of the VM's event loop
   */
  advance (now: number, busyRatio: number, random: () => number): DueCalls<T> {
    this.reportOverdue(now, busyRatio >= BUSY_RATIO)
    this.limit.observe(now, this.counted, this.queue.waiting > 0, busyRatio)
    const late = this.queue.removeIf(({ latestStart }) => latestStart < now)
    const refused = late.map(({ request }) => this.refused(request, 'waited until its turn came too late', now, random()))
    const started: Array<AdmittedPlace<T>> = []
    while (this.hasRoom) {
      const item = this.queue.pop()
      if (item === undefined) break
      started.push(this.start(item.request, now))
    }
    return { started, refused: [...refused, ...this.reviewOvertaken(now, random)] }
  }

  private get hasRoom (): boolean {
    return this.counted + 1 <= this.limit.current
  }

  private start (request: AdmissionRequest<T>, now: number): AdmittedPlace<T> {
    const place: AdmittedPlace<T> = { request, startedAt: now, sentAt: undefined, isCounted: false, isReported: false }
    this.open.add(place)
    this.setCounted(place, true)
    return place
  }

  private setCounted (place: AdmittedPlace<T>, isCounted: boolean): void {
    if (place.isCounted !== isCounted) this.counted += isCounted ? 1 : -1
    place.isCounted = isCounted
  }

  private refusal (request: AdmissionRequest<T>, latestStart: number, now: number, random: number): Failure | undefined {
    const leftMs = latestStart - now
    const waitMs = this.expectedWaitMs(request, now)
    const isLate = leftMs <= 0 || waitMs > leftMs * MAX_WAIT_SHARE
    if (!isLate && this.queue.waiting < MAX_WAITING) return undefined
    this.refusals.add(1, now)
    const excess = this.excess(now, random)
    return isLate ? lateTurnFailure(`expected wait ${Math.round(waitMs)} ms, ${Math.round(leftMs)} ms left`, excess) : fullFailure(excess)
  }

  private refused (request: AdmissionRequest<T>, detail: string, now: number, random: number): RefusedRequest<T> {
    this.refusals.add(1, now)
    return { request, failure: lateTurnFailure(detail, this.excess(now, random)) }
  }

  /** Refuses calls that more urgent ones overtook until their turn is expected too late. */
  private reviewOvertaken (now: number, random: () => number): ReadonlyArray<RefusedRequest<T>> {
    if (now - this.reviewedAt < REVIEW_INTERVAL_MS || this.queue.waiting === 0) return []
    this.reviewedAt = now
    const overtaken = this.queue.removeIf(item => this.isOvertaken(item, now))
    return overtaken.map(({ request }) => this.refused(request, 'more urgent calls came before it', now, random()))
  }

  private isOvertaken ({ request, latestStart }: WaitingRequest<T>, now: number): boolean {
    return this.expectedWaitMs(request, now) > latestStart - now
  }

  /** Time until the calls ahead have started; more urgent ones that arrive meanwhile take their part of the starts. */
  private expectedWaitMs (request: AdmissionRequest<T>, now: number): number {
    const ahead = this.queue.ahead(request)
    const intervalMs = this.startIntervalMs
    let urgentRate = 0
    for (const [priority, sum] of this.arrivals) if (priority < request.priority) urgentRate += sum.at(now) / RECENT_MS
    const share = 1 - urgentRate * intervalMs
    return share <= 0 ? Infinity : (ahead + 1) * intervalMs / share
  }

  /** Milliseconds between two starts at the present limit. */
  private get startIntervalMs (): number {
    return this.latency.mean / this.limit.current
  }

  private excess (now: number, random: number): Excess {
    return { waiting: this.queue.waiting, refused: this.refusals.at(now), startIntervalMs: this.startIntervalMs, random }
  }

  private latestStart ({ receivedAt, objectiveMs, deadline }: AdmissionRequest<T>): number {
    const expectedMs = Math.min(this.latency.mean, objectiveMs * MAX_EXPECTED_RATIO)
    return Math.min(receivedAt + objectiveMs, deadline) - expectedMs
  }

  /**
   * A call past its objective tells that it is slow without an output. While targets are the cause it gives way to
   * others, which find out whether they answer again; while the processor is, it still takes its part of it.
   */
  private reportOverdue (now: number, isBusy: boolean): void {
    for (const place of this.open) {
      const { sentAt, startedAt, request } = place
      if (sentAt === undefined && now - startedAt > TOKEN_GRACE_MS) this.setCounted(place, false)
      if (sentAt === undefined || now - sentAt <= request.objectiveMs) continue
      this.report(place, now)
      if (!isBusy) this.setCounted(place, false)
    }
  }

  private report (place: AdmittedPlace<T>, now: number): void {
    if (place.isReported || place.sentAt === undefined) return
    place.isReported = true
    const latencyMs = now - place.sentAt
    const latencyRatio = latencyMs / place.request.objectiveMs
    this.latency.add(latencyMs)
    this.limit.record({ latencyRatio, isSlow: latencyRatio >= SLOW_RATIO })
  }

  private countArrival (priority: number, now: number): void {
    const sum = this.arrivals.get(priority) ?? new DecayingSum(RECENT_MS)
    this.arrivals.set(priority, sum)
    sum.add(1, now)
  }
}
