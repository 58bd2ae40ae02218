/**
 * State of one call in progress: its reservation, the targets tried, its deadline and whether its caller
 * has disconnected.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, mayHaveRun } from '@rosemaryspread/decisions/codes/failure.js'
import type { AttemptRecord } from '@rosemaryspread/decisions/gateway/executionProof.js'
import type { KnownVersion, VersionSource } from '@rosemaryspread/decisions/streams/streamVersion.js'
import type { Reservation } from '../budget/budgetPort.js'
import { partDigest, requestDigest } from '../quarantine/requestDigest.js'
import { AttemptHistory, type AttemptEnd } from './attemptHistory.js'
import { EventRelay } from './eventRelay.js'
import type { AttemptOutcome } from './callAttempt.js'
import type { AdmittedCall, CallPlace, CallSink } from './callTypes.js'

type FailedAnswer = Extract<AttemptOutcome, { kind: 'failedAnswer' }>

/** Retry-After of a call that passed its deadline before anything ran. */
const DEADLINE_RETRY_MS = 100

export class OpenCall {
  readonly relay = new EventRelay()
  readonly excluded = new Set<string>()
  reservation: Reservation | undefined
  /** Set once the call was admitted under load. */
  place: CallPlace | undefined
  /** Why the call ends early; undefined until then. */
  stopped: Failure | undefined
  lastFailure: Failure | undefined
  failedAnswer: FailedAnswer | undefined
  /** Target of the latest attempt. */
  lastTarget: string | undefined
  /** Software version that began the stream of the call: only targets of this version may continue it. Undefined until it is known. */
  streamVersion: string | undefined
  /** How the version of a stream of an earlier call is known. */
  versionSource: VersionSource | undefined
  /** Monotonic milliseconds of the latest attempt. */
  sentAt = 0
  /** Milliseconds that the call waited for tokens. */
  reserveMs = 0
  /** Milliseconds from receipt until the first event, or the complete answer, was relayed. */
  firstMs: number | undefined
  /** Whether a target may have started the request. */
  mayHaveRun = false
  /** Targets that received the request. */
  attempts = 0
  /** Targets that accepted no connection, or whose address belongs to another process. */
  absentTargets = 0
  private ran = false
  private readonly history = new AttemptHistory()
  private cachedDigest: string | undefined
  private cachedPartDigests: readonly string[] | undefined
  private readonly stop = new AbortController()
  private readonly timer: NodeJS.Timeout

  constructor (readonly admitted: AdmittedCall, readonly sink: CallSink, private readonly clock: Clock) {
    this.timer = setTimeout(() => { this.timeOut() }, Math.max(0, this.leftMs))
    admitted.call.gone.addEventListener('abort', this.onCallerDisconnected)
    if (admitted.call.gone.aborted) this.onCallerDisconnected()
  }

  /** Identifies repeats of the same request, see requestDigest; computed on first use. */
  get digest (): string {
    this.cachedDigest ??= requestDigest(this.admitted.call, this.admitted.team)
    return this.cachedDigest
  }

  /** Digests of the parts of the prompt that other requests may have too; computed on first use. */
  get partDigests (): readonly string[] {
    this.cachedPartDigests ??= this.admitted.promptParts.map(part => partDigest(this.admitted.service, part))
    return this.cachedPartDigests
  }

  /** Milliseconds until the deadline; negative after it. */
  get leftMs (): number {
    return this.admitted.deadline - this.clock.now().mono
  }

  /** Milliseconds since the call was received. */
  get ageMs (): number {
    return this.clock.now().mono - this.admitted.call.receivedAt.mono
  }

  /** All attempts so far, in order. */
  get attemptRecords (): AttemptRecord[] {
    return this.history.records(this.admitted.call.receivedAt.mono, this.clock.now().mono)
  }

  /** How the latest attempt failed; undefined if it has not. */
  get latestEnd (): AttemptEnd | undefined {
    return this.history.latestEnd
  }

  /**
   * Whether any of an answer was relayed. Only then is the prompt billed: callers pay for what they receive, and
   * an answer that is lost on the way costs nothing.
   */
  get isDelivered (): boolean {
    return this.firstMs !== undefined || this.failedAnswer !== undefined
  }

  /** Tokens to bill: the prompt, and the answer as far as it was relayed; 0 if nothing was reserved or delivered. */
  get billedTokens (): number {
    if (this.reservation === undefined || !this.mayHaveRun || !this.isDelivered) return 0
    const { call, tokensPerEvent } = this.admitted
    return call.promptTokens + Math.min(call.maxTokens, this.relay.events * tokensPerEvent)
  }

  /** Signal that is aborted when the call ends early. Requested at the start of an attempt, so it also marks that the request may run. */
  stopSignal (): AbortSignal {
    this.mayHaveRun = true
    this.history.start(this.lastTarget ?? '', this.sentAt)
    return this.stop.signal
  }

  /** Ends the call early, also where it must run at most once. */
  abort (failure: Failure): void {
    this.stopped ??= this.reported(failure)
    this.stop.abort()
  }

  setReservation (reservation: Reservation): void {
    this.reservation = reservation
  }

  setPlace (place: CallPlace): void {
    this.place = place
  }

  /** Sets the version of the stream that the call resumes. */
  setStream ({ version, source }: KnownVersion): void {
    this.streamVersion = version
    this.versionSource = source
  }

  /**
   * Records an attempt that did not complete the call.
   * @param target - id of the target
   */
  recordAttempt (target: string, outcome: AttemptOutcome): void {
    this.history.end(outcome, this.clock.now().mono)
    this.excluded.add(target)
    if (this.wasAbsent(outcome)) this.absentTargets += 1
    else this.attempts += 1
    if (outcome.kind !== 'notRun') this.ran = true
    this.mayHaveRun = this.ran
    if (outcome.kind === 'failedAnswer') {
      this.failedAnswer?.buffer.discard()
      this.failedAnswer = outcome
    }
    if (outcome.kind === 'notRun' || outcome.kind === 'broken') this.lastFailure = this.combineFailures(outcome.failure)
  }

  /** The failure as the caller may see it: the attempts decide whether it may promise that nothing ran, whichever part made it. */
  reported (failure: Failure): Failure {
    return this.mayHaveRun ? mayHaveRun(failure) : failure
  }

  /** Whether the target was absent, so that the outcome says nothing about other targets. */
  wasAbsent (outcome: AttemptOutcome): boolean {
    return outcome.kind === 'notRun' && (outcome.failure.code === 'runnerUnreachable' || outcome.failure.code === 'targetReplaced')
  }

  /** Ends the call if its deadline has passed. The timer fires late after a suspension of the VM. */
  checkDeadline (): void {
    if (this.leftMs <= 0) this.timeOut()
  }

  /** Releases the timer, the listener and the buffers of the call. */
  close (): void {
    this.failedAnswer?.buffer.discard()
    clearTimeout(this.timer)
    this.admitted.call.gone.removeEventListener('abort', this.onCallerDisconnected)
  }

  /** Once a request may have run, a later failure must not say that nothing ran. */
  private combineFailures (failure: Failure): Failure {
    const previous = this.lastFailure
    return previous === undefined || previous.ran === 'no' ? failure : previous
  }

  private readonly onCallerDisconnected = (): void => {
    const { route } = this.admitted
    this.stopped ??= new Failure('callerGone', 'the caller closed the connection', { ran: 'unknown' })
    // A call that must run at most once continues at its target: aborting it could leave it half done.
    if (route.streamed || route.repeat !== 'never') this.stop.abort()
  }

  private timeOut (): void {
    const ran = this.mayHaveRun ? 'unknown' : 'no'
    this.stopped ??= new Failure('deadlineExceeded', 'the deadline of the call has passed', { ran, retryAfterMs: DEADLINE_RETRY_MS })
    this.stop.abort()
  }
}
