/**
 * Quarantine of one VM: refuses calls of quarantined requests and of requests with quarantined parts in their prompts, detects which of them
 * terminate targets, and shares this with the other VMs.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { Suspicion, TargetChoice } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import { PromptPartQuarantine } from '@rosemaryspread/decisions/quarantine/promptPartQuarantine.js'
import type { QuarantineUpdate, SuspectView, TargetEnd, Verdict } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import { RequestQuarantine } from '@rosemaryspread/decisions/quarantine/requestQuarantine.js'
import type { CallGuard, ServedAnswer } from '../gateway/callTypes.js'
import type { OpenCall } from '../gateway/openCall.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import { AnsweredRequests } from './answeredRequests.js'
import { AbandonedCalls, type CallIdentity } from './abandonedCalls.js'
import type { QuarantineSync } from './quarantineSync.js'
import { isPartDigest } from './requestDigest.js'
import type { TargetEndDetector } from './targetEndDetector.js'

/** Parts of which recent answers are stored; a service may have several thousand in use. */
const MAX_ANSWERED_PARTS = 10_000
/** A verdict on a part is wrong if a target answered a request with it within this time before. */
const ANSWER_PROOF_MS = 1_000

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
  private readonly promptParts = new PromptPartQuarantine(digest => this.answeredParts.lastAt(digest, this.mono))
  private readonly answers = new AnsweredRequests()
  private readonly answeredParts = new AnsweredRequests(MAX_ANSWERED_PARTS)
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
    if (!this.requests.isEmpty && this.requests.standing(call.digest, this.mono) === 'quarantined') return refusalFor(call, call.digest)
    const part = this.promptParts.isEmpty ? undefined : call.partDigests.find(digest => this.promptParts.isQuarantined(digest, this.mono))
    return part === undefined ? undefined : refusalFor(call, part)
  }

  suspicion (call: OpenCall): Suspicion | undefined {
    if (this.requests.isEmpty) return undefined
    if (this.requests.standing(call.digest, this.mono) === 'suspected') return { digest: call.digest, domains: this.requests.domainsOf(call.digest) }
    const part = call.partDigests.find(digest => this.promptParts.isSuspected(digest, this.mono))
    return part === undefined ? undefined : { digest: part, domains: this.promptParts.domainsOf(part) }
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

  answered (call: OpenCall, { target }: TargetChoice, { isDelimited, sentAt }: ServedAnswer): void {
    for (const confirmed of this.abandonedCalls.removeConfirmed(target, sentAt)) this.clear(confirmed, confirmed.isEligible)
    const isEligible = this.answers.isEligible(call.admitted.call.body)
    if (isDelimited) this.clear(call, isEligible)
    else this.abandonedCalls.add({ ...identityOf(call), isEligible }, target, this.mono)
  }

  /** Handles an update from another VM. */
  receive (update: QuarantineUpdate): void {
    this.applyVerdicts(this.apply(update), 'another VM')
    if (update.kind === 'quarantined' && isPartDigest(update.digest) && this.wasAnsweredWithin(update.digest, ANSWER_PROOF_MS)) this.lift(update.digest)
  }

  /** Requests and parts of prompts under suspicion, for operators. */
  list (): readonly SuspectView[] {
    return [...this.requests.list(this.mono), ...this.promptParts.list(this.mono)]
  }

  /** Lifts the suspicion from a request or a part; returns whether there was one. */
  lift (digest: string): boolean {
    const clearance = this.quarantineOf(digest).lift(digest, this.mono)
    if (clearance === undefined) return false
    this.parts.share.cleared(clearance)
    this.parts.log.write('quarantineLifted', { digest, processes: clearance.processes })
    return true
  }

  /** Finds parts that terminate targets, expires suspicions and writes queued rows; to be called several times a second. */
  tick (): void {
    this.requests.tick(this.mono)
    this.publish(this.promptParts.tick(this.mono))
    this.requests.explain(this.promptParts.explained(this.mono))
    this.parts.share.tick()
  }

  /** Whether a target terminated. If so, calls abandoned shortly before are suspected like those that broke with it. */
  private async isEnded (target: Target): Promise<boolean> {
    const { isEnded, since } = this.parts.endDetector.check(target)
    if (!await isEnded) return false
    for (const call of this.abandonedCalls.removeFor(target, since)) this.suspect(call, target)
    return true
  }

  private suspect ({ requestId, digest, partDigests }: CallIdentity, target: Target): void {
    const { log, metrics, share, clock } = this.parts
    if (this.answers.has(digest, this.mono)) return
    const { id, domain, startedAt } = target
    const end: TargetEnd = { target: id, domain, at: clock.now().wall, ...(startedAt === undefined ? {} : { startedAt }) }
    metrics.count('requests_suspected')
    log.write('requestSuspected', { request: requestId, digest, parts: partDigests, runner: end.target, startedAt: end.startedAt })
    share.ended(end, digest, partDigests)
    this.publish(this.apply({ kind: 'ended', ends: [end], digests: [digest], parts: partDigests.map(part => [part, [0]]) }))
  }

  private apply (update: QuarantineUpdate): readonly Verdict[] {
    if (update.kind !== 'ended') return this.quarantineOf(update.digest).apply(update, this.mono)
    this.promptParts.apply(update, this.mono)
    return this.requests.apply(update, this.mono)
  }

  private publish (verdicts: readonly Verdict[]): void {
    this.applyVerdicts(verdicts, 'this VM')
    for (const verdict of verdicts) this.parts.share.quarantined(verdict)
  }

  /**
   * A target served the call and lives on: neither the request nor a part of its prompt terminates targets.
   * @param call - its digest is read only where it is needed, as an open call hashes its body for it
   */
  private clear (call: Pick<CallIdentity, 'digest' | 'partDigests'>, isEligible: boolean): void {
    const { partDigests } = call
    if (isEligible) this.answers.add(call.digest, this.mono)
    for (const part of partDigests) this.answeredParts.add(part, this.mono)
    if (this.requests.isEmpty) return
    for (const each of [call.digest, ...partDigests]) {
      const clearance = this.quarantineOf(each).answered(each, this.mono)
      if (clearance !== undefined) this.parts.share.cleared(clearance)
    }
  }

  private wasAnsweredWithin (part: string, ms: number): boolean {
    const at = this.answeredParts.lastAt(part, this.mono)
    return at !== undefined && this.mono - at <= ms
  }

  private quarantineOf (digest: string): Pick<RequestQuarantine, 'apply' | 'answered' | 'lift'> {
    return isPartDigest(digest) ? this.promptParts : this.requests
  }

  /** Cancels the open calls of quarantined requests: those that still wait at a target have not terminated it yet. */
  private applyVerdicts (verdicts: readonly Verdict[], by: string): void {
    for (const { digest, ends, level } of verdicts) {
      this.parts.metrics.count('requests_quarantined')
      this.parts.log.write('requestQuarantined', { digest, runners: ends.map(({ target }) => target), level, by })
      for (const call of this.open) if (call.digest === digest || call.partDigests.includes(digest)) call.abort(refusalFor(call, digest))
    }
  }

  private inBackground (work: Promise<unknown>): void {
    work.catch((err: unknown) => { this.parts.log.write('fault', { err: toFailure(err).message }) })
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

function identityOf ({ digest, partDigests, admitted: { call: { requestId } } }: OpenCall): CallIdentity {
  return { requestId, digest, partDigests }
}

function refusalFor (call: OpenCall, digest: string): Failure {
  const cause = isPartDigest(digest) ? 'requests with a part of this prompt' : 'this request'
  return new Failure('requestQuarantined', `targets terminated each time ${cause} ran; it is quarantined under digest ${digest}`, { ran: call.mayHaveRun ? 'unknown' : 'no' })
}
