/**
 * Quarantine of one VM: refuses calls of quarantined requests, detects which requests terminate targets, and shares this
 * with the other VMs.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { Suspicion, TargetChoice } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { QuarantineUpdate, SuspectView, TargetEnd, Verdict } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import { RequestQuarantine } from '@rosemaryspread/decisions/quarantine/requestQuarantine.js'
import type { CallGuard } from '../gateway/callTypes.js'
import type { OpenCall } from '../gateway/openCall.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import { AnsweredRequests } from './answeredRequests.js'
import { AbandonedCalls, type CallIdentity } from './abandonedCalls.js'
import type { QuarantineSync } from './quarantineSync.js'
import type { TargetEndDetector } from './targetEndDetector.js'

type Target = TargetChoice['target']

export interface CallQuarantineParts {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  readonly endDetector: TargetEndDetector
  readonly share: QuarantineSync
}

export class CallQuarantine implements CallGuard {
  private readonly requests = new RequestQuarantine()
  private readonly answers = new AnsweredRequests()
  private readonly abandonedCalls = new AbandonedCalls()
  private readonly open = new Set<OpenCall>()

  constructor (private readonly parts: CallQuarantineParts) {}

  opened (call: OpenCall): void {
    this.open.add(call)
  }

  closed (call: OpenCall): void {
    this.open.delete(call)
  }

  refusal (call: OpenCall): Failure | undefined {
    return !this.requests.isEmpty && this.requests.standing(call.digest, this.mono) === 'quarantined' ? refusalFor(call) : undefined
  }

  suspicion (call: OpenCall): Suspicion | undefined {
    if (this.requests.isEmpty || this.requests.standing(call.digest, this.mono) !== 'suspected') return undefined
    return { digest: call.digest, domains: this.requests.domainsOf(call.digest) }
  }

  async handleBroken (call: OpenCall, { target }: TargetChoice): Promise<boolean> {
    const isEnded = await this.isEnded(target)
    if (isEnded) this.suspect(identityOf(call), target)
    return isEnded
  }

  left (call: OpenCall, { target }: TargetChoice): void {
    this.abandonedCalls.add(identityOf(call), target, this.mono)
  }

  targetAbsent ({ target }: TargetChoice): void {
    if (this.abandonedCalls.has(target)) this.inBackground(this.isEnded(target))
  }

  answered (call: OpenCall): void {
    if (this.answers.isEligible(call.admitted.call.body)) this.answers.add(call.digest, this.mono)
    if (this.requests.isEmpty) return
    const clearance = this.requests.answered(call.digest, this.mono)
    if (clearance !== undefined) this.parts.share.cleared(clearance)
  }

  /** Handles an update from another VM. */
  receive (update: QuarantineUpdate): void {
    this.applyVerdicts(this.requests.apply(update, this.mono), 'another VM')
  }

  /** Requests under suspicion, for operators. */
  list (): readonly SuspectView[] {
    return this.requests.list(this.mono)
  }

  /** Lifts the suspicion from a request; returns whether there was one. */
  lift (digest: string): boolean {
    const clearance = this.requests.lift(digest, this.mono)
    if (clearance === undefined) return false
    this.parts.share.cleared(clearance)
    this.parts.log.write('quarantineLifted', { digest, processes: clearance.processes })
    return true
  }

  /** Expires suspicions and writes queued rows; to be called several times a second. */
  tick (): void {
    this.requests.tick(this.mono)
    this.parts.share.tick()
  }

  /** Whether a target terminated. If so, calls abandoned shortly before are suspected like those that broke with it. */
  private async isEnded (target: Target): Promise<boolean> {
    const { isEnded, since } = this.parts.endDetector.check(target)
    if (!await isEnded) return false
    for (const call of this.abandonedCalls.removeFor(target, since)) this.suspect(call, target)
    return true
  }

  private suspect ({ requestId, digest }: CallIdentity, target: Target): void {
    const { log, metrics, share, clock } = this.parts
    if (this.answers.has(digest, this.mono)) return
    const { id, domain, startedAt } = target
    const end: TargetEnd = { target: id, domain, at: clock.now().wall, ...(startedAt === undefined ? {} : { startedAt }) }
    metrics.count('requests_suspected')
    log.write('requestSuspected', { request: requestId, digest, runner: end.target, startedAt: end.startedAt })
    share.ended(end, digest)
    const verdicts = this.requests.apply({ kind: 'ended', ends: [end], digests: [digest] }, this.mono)
    this.applyVerdicts(verdicts, 'this VM')
    for (const verdict of verdicts) share.quarantined(verdict)
  }

  /** Quarantines requests and cancels their open calls: those that still wait at a target have not terminated it yet. */
  private applyVerdicts (verdicts: readonly Verdict[], by: string): void {
    for (const { digest, ends, level } of verdicts) {
      this.parts.metrics.count('requests_quarantined')
      this.parts.log.write('requestQuarantined', { digest, runners: ends.map(({ target }) => target), level, by })
      for (const call of this.open) if (call.digest === digest) call.abort(refusalFor(call))
    }
  }

  private inBackground (work: Promise<unknown>): void {
    work.catch((err: unknown) => { this.parts.log.write('fault', { err: toFailure(err).message }) })
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

function identityOf ({ digest, admitted: { call: { requestId } } }: OpenCall): CallIdentity {
  return { requestId, digest }
}

function refusalFor (call: OpenCall): Failure {
  return new Failure('requestQuarantined', `targets terminated each time this request ran; it is quarantined under digest ${call.digest}`, { ran: call.mayHaveRun ? 'unknown' : 'no' })
}
