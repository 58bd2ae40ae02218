/**
 * Plays the load of one VM in virtual time: callers of several kinds and teams, the processor of the VM as one queue in
 * order of arrival, and a pool of targets with slots. Callers that are refused come back as told.
 */
import seedrandom from 'seedrandom'
import { ServiceAdmission } from '@rosemaryspread/decisions/admission/serviceAdmission.js'
import type { AdmissionRequest, AdmittedPlace, ConcurrencyLimit } from '@rosemaryspread/decisions/admission/admissionTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

const TICK_MS = 50
const TARGET_MS = 200
/** Shares of the processor time of a call for reading it and for refusing it; the rest comes before its first output. */
const READ_SHARE = 0.15
const REFUSE_SHARE = 0.1
const BUSY_WINDOW_MS = 500
/** Time for which a caller waits, in objectives. */
const PATIENCE = 4
/** Share of its time left for which a caller waits before it comes back. */
const HONOURED_SHARE = 1 / 3

export interface PlayedKind {
  readonly name: string
  readonly priority: number
  readonly objectiveMs: number
  /** Share of the calls. */
  readonly share: number
}

export interface PlayOptions {
  /** Calls per second that the processor of the VM bears. */
  readonly processorPerS: number
  /** Slots of the targets together; each call takes one for some 200 ms. */
  readonly slots: number
  readonly callsPerS: number
  readonly kinds: readonly PlayedKind[]
  /** Other mix of kinds in the second half. */
  readonly laterKinds?: readonly PlayedKind[]
  /** Shares of the teams. */
  readonly teams: Readonly<Record<string, number>>
  readonly playMs: number
  /** Times that a refused caller comes back. */
  readonly retries: number
  /** Time in which no target answers. */
  readonly outage?: { readonly fromMs: number, readonly toMs: number }
  readonly seed: string
  /** Absent: no admission. */
  readonly limit?: ConcurrencyLimit
}

/** What became of a call. */
export interface PlayedCall {
  readonly kind: PlayedKind
  readonly team: string
  /** When it was first sent. */
  readonly at: number
  /** When its first output came; undefined if none did. */
  firstAt: number | undefined
  /** Milliseconds after its receipt at which each refusal was sent. */
  readonly refusedAfterMs: number[]
  waited: boolean
}

interface Try {
  readonly call: PlayedCall
  readonly receivedAt: number
  readonly retries: number
}

/** Work that waits for the processor. */
interface QueuedWork {
  readonly call: PlayedCall
  readonly costMs: number
  readonly run: () => void
}

export class AdmissionPlay {
  readonly calls: PlayedCall[] = []
  /** Limit at each tick. */
  readonly limits: number[] = []
  private now = 0
  private readonly due: Array<{ readonly at: number, readonly run: () => void }> = []
  private readonly random: () => number
  private readonly admission: ServiceAdmission<Try> | undefined
  private readonly queued: QueuedWork[] = []
  private isWorking = false
  private busyMs = 0
  private busyRatio = 0
  private running = 0
  private readonly atTargets: Array<() => void> = []

  constructor (private readonly options: PlayOptions) {
    this.random = seedrandom(options.seed)
    if (options.limit !== undefined) this.admission = new ServiceAdmission<Try>(options.limit)
  }

  run (): readonly PlayedCall[] {
    this.after(0, () => { this.arrive() })
    this.after(0, () => { this.tick() })
    this.after(0, () => { this.measure() })
    for (let next = this.due.shift(); next !== undefined && next.at <= this.options.playMs; next = this.due.shift()) {
      this.now = next.at
      next.run()
    }
    return this.calls
  }

  private after (ms: number, run: () => void): void {
    const at = this.now + ms
    let index = this.due.length
    while (index > 0 && (this.due[index - 1]?.at ?? 0) > at) index -= 1
    this.due.splice(index, 0, { at, run })
  }

  /** Queues work of the processor, given as a share of a call. */
  private work (call: PlayedCall, share: number, run: () => void): void {
    this.queued.push({ call, costMs: share * 1_000 / this.options.processorPerS, run })
    this.workNext()
  }

  /** Callers that have left cost nothing more. */
  private workNext (): void {
    if (this.isWorking) return
    let next = this.queued.shift()
    while (next !== undefined && this.leftMs(next.call) <= 0) next = this.queued.shift()
    if (next === undefined) return
    const { costMs, run } = next
    this.isWorking = true
    this.busyMs += costMs
    this.after(costMs, () => {
      this.isWorking = false
      run()
      this.workNext()
    })
  }

  private leftMs ({ at, kind }: PlayedCall): number {
    return at + kind.objectiveMs * PATIENCE - this.now
  }

  private arrive (): void {
    const { kinds, laterKinds, teams, playMs, callsPerS } = this.options
    const kind = this.pick(this.now < playMs / 2 ? kinds : laterKinds ?? kinds, ({ share }) => share)
    const [team] = this.pick(Object.entries(teams), ([, share]) => share)
    const call: PlayedCall = { kind, team, at: this.now, firstAt: undefined, refusedAfterMs: [], waited: false }
    this.calls.push(call)
    this.receive(call, 0)
    this.after(-Math.log(1 - this.random()) * 1_000 / callsPerS, () => { this.arrive() })
  }

  private pick<T> (from: readonly T[], share: (each: T) => number): T {
    let left = this.random() * from.reduce((sum, each) => sum + share(each), 0)
    return from.find(each => { left -= share(each); return left < 0 }) ?? from[0] as T
  }

  private receive (call: PlayedCall, retries: number): void {
    this.work(call, READ_SHARE, () => { this.offer({ call, receivedAt: this.now, retries }) })
  }

  private offer (value: Try): void {
    if (this.admission === undefined) {
      this.send(value)
      return
    }
    const { call: { kind, team, at }, receivedAt } = value
    const request = { team, priority: kind.priority, objectiveMs: kind.objectiveMs, receivedAt, deadline: at + kind.objectiveMs * PATIENCE, value }
    const outcome = this.admission.offer(request, this.now, this.random())
    if (outcome.kind === 'started') this.start(outcome.place)
    if (outcome.kind === 'waits') value.call.waited = true
    if (outcome.kind === 'refused') this.refuse(request, outcome.failure)
    this.advance()
  }

  private start (place: AdmittedPlace<Try>): void {
    this.admission?.sent(place, this.now)
    this.send(place.request.value, place)
  }

  private send (value: Try, place?: AdmittedPlace<Try>): void {
    this.work(value.call, 1 - READ_SHARE, () => {
      this.atTargets.push(() => {
        value.call.firstAt ??= this.now
        if (place === undefined) return
        this.admission?.firstOutput(place, this.now)
        this.admission?.ended(place)
        this.advance()
      })
      this.startAtTarget()
    })
  }

  private startAtTarget (): void {
    const { slots, outage } = this.options
    if (outage !== undefined && this.now >= outage.fromMs && this.now < outage.toMs) {
      this.after(outage.toMs - this.now, () => { this.startAtTarget() })
      return
    }
    while (this.running < slots) {
      const answered = this.atTargets.shift()
      if (answered === undefined) return
      this.running += 1
      this.after(TARGET_MS * (0.7 + 0.6 * this.random()), () => {
        this.running -= 1
        answered()
        this.startAtTarget()
      })
    }
  }

  private refuse ({ value: { call, receivedAt, retries } }: AdmissionRequest<Try>, { retryAfterMs = 0 }: Failure): void {
    call.refusedAfterMs.push(this.now - receivedAt)
    this.work(call, REFUSE_SHARE, () => {
      const leftMs = this.leftMs(call)
      if (retries < this.options.retries && leftMs > 0) this.after(Math.min(retryAfterMs, leftMs * HONOURED_SHARE), () => { this.receive(call, retries + 1) })
    })
  }

  private tick (): void {
    this.advance()
    this.limits.push(this.admission?.currentLimit ?? Infinity)
    this.after(TICK_MS, () => { this.tick() })
  }

  private advance (): void {
    const due = this.admission?.advance(this.now, this.busyRatio, this.random)
    for (const place of due?.started ?? []) this.start(place)
    for (const { request, failure } of due?.refused ?? []) this.refuse(request, failure)
  }

  private measure (): void {
    this.busyRatio = Math.min(1, this.busyMs / BUSY_WINDOW_MS)
    this.busyMs = 0
    this.after(BUSY_WINDOW_MS, () => { this.measure() })
  }
}

/** Share of calls whose first output came within their objective, of the calls for which a condition holds. */
export function goodput (calls: readonly PlayedCall[], counts: (call: PlayedCall) => boolean = () => true): number {
  const counted = calls.filter(counts)
  return counted.filter(({ at, firstAt, kind }) => firstAt !== undefined && firstAt - at <= kind.objectiveMs).length / counted.length
}
