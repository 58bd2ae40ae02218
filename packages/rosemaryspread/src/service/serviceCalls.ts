/**
 * Forwards calls to application runners. A call that must not be repeated is first claimed durably and then
 * dispatched at most once; its outcome is reported as far as it is known.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { ApplicationService, ServiceAnswer, ServiceCall } from '@rosemaryspread/callers/completion/completionTypes.js'
import { elapsedMs, type Clock, type Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { FleetConfig, ServiceConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { bodyDigest, keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { ApplicationAnswer, ApplicationClient } from '@rosemaryspread/runners/application/applicationTypes.js'
import type { CurrentConfig, DrainState, RandomSource } from '../completion/completionPorts.js'
import { CallDispatch } from '../gateway/callDispatch.js'
import { CallReport } from '../gateway/callReport.js'
import type { AdmittedCall } from '../gateway/callTypes.js'
import type { OpenCall } from '../gateway/openCall.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { BackgroundWrites } from './serviceBackground.js'
import type { ClaimRow, ClaimStore, AcquiredClaim } from './serviceClaim.js'
import { AnswerCollector, ApplicationTargets, ServiceChooser, unboundedRetries } from './serviceDispatch.js'
import { isRepeatable, ServiceLoad } from './serviceRoute.js'

/** A claim older than this before dispatch is abandoned: its holder was suspended meanwhile. */
const MAX_CLAIM_AGE_MS = 5_000
/** Retry-After while an earlier attempt is in progress. */
const IN_PROGRESS_RETRY_MS = 1_000
/** Retry-After while the VM drains or has no configuration. */
const NOT_READY_RETRY_MS = 500

export interface ServiceDeps {
  readonly holder: string
  readonly domain: string
  readonly clock: Clock
  readonly random: RandomSource
  readonly config: CurrentConfig
  readonly work: DrainState
  readonly claims: ClaimStore
  readonly background: BackgroundWrites
  readonly runners: ApplicationClient
  readonly log: EventLog
  readonly metrics: Metrics
}

/** The state of a call at its runners, once it was dispatched. */
interface DispatchedCall {
  open?: OpenCall
}

/** A call that passed the checks. */
interface CheckedCall {
  readonly call: ServiceCall
  readonly service: ServiceConfig
  readonly requestId: string
  readonly startedAt: Instant
  readonly timeoutMs: number
  readonly repeatable: boolean
  readonly dispatched: DispatchedCall
}

export class ClaimedServiceCalls implements ApplicationService {
  private readonly load = new ServiceLoad()
  private readonly report: CallReport

  constructor (private readonly deps: ServiceDeps) {
    this.report = new CallReport(deps.log, deps.metrics)
  }

  async call (call: ServiceCall): Promise<Either<Failure, ServiceAnswer>> {
    const close = this.deps.work.open()
    try {
      const checked = this.check(call)
      const answer = checked.isLeft()
        ? Left(checked.extract())
        : await this.serve(checked.unsafeCoerce())
      const requestId = checked.map(checkedCall => checkedCall.requestId).orDefault(call.requestId ?? '-')
      const open = checked.map(({ dispatched }) => dispatched.open).orDefault(undefined)
      return answer.ifLeft(failure => { this.report.failed({ requestId, team: call.caller.team }, failure, open) })
    } finally {
      close()
    }
  }

  /** Open calls of this VM at an application runner. */
  inFlight (runner: string): number {
    return this.load.of(runner)
  }

  private check (call: ServiceCall): Either<Failure, CheckedCall> {
    if (this.deps.work.draining) return Left(new Failure('draining', 'this VM is draining; use another address', { ran: 'no', retryAfterMs: NOT_READY_RETRY_MS }))
    return this.deps.config.current()
      .toEither(new Failure('configNotLoaded', 'no configuration is in force yet', { ran: 'no', retryAfterMs: NOT_READY_RETRY_MS }))
      .chain(({ config }) => this.checkAgainst(call, config))
  }

  private checkAgainst (call: ServiceCall, config: FleetConfig): Either<Failure, CheckedCall> {
    const { caller, idempotencyKey } = call
    const allowed = config.teams[caller.team]?.services.includes(call.service) === true
    const service = allowed ? config.services[call.service] : undefined
    if (service === undefined) return Left(new Failure('notFound', `team ${caller.team} has no service ${call.service}`, { ran: 'no' }))
    const repeatable = isRepeatable(service, call.method, call.path)
    if (!repeatable && idempotencyKey === undefined) {
      return Left(new Failure('keyRequired', 'this call must not be repeated: send an Idempotency-Key', { ran: 'no' }))
    }
    return Right({
      call,
      service,
      requestId: idempotencyKey === undefined ? call.requestId ?? this.deps.random.id() : keyedRequestId(caller.team, idempotencyKey),
      startedAt: this.deps.clock.now(),
      timeoutMs: Math.min(call.timeoutMs ?? service.timeoutMs, service.timeoutMs),
      repeatable,
      dispatched: {}
    })
  }

  private async serve (checked: CheckedCall): Promise<Either<Failure, ServiceAnswer>> {
    return checked.repeatable ? await this.dispatch(checked) : await this.serveClaimed(checked)
  }

  private async serveClaimed (checked: CheckedCall): Promise<Either<Failure, ServiceAnswer>> {
    const { call, requestId } = checked
    const row: ClaimRow = {
      requestId,
      team: call.caller.team,
      service: call.service,
      digest: callDigest(call),
      holder: this.deps.holder,
      nonce: this.deps.random.id(),
      state: 'claimed'
    }
    const sentAt = this.deps.clock.now()
    const claimed = await this.deps.claims.claim(row)
    if (claimed.isLeft()) return this.claimFailed(row, claimed.extract())
    const outcome = claimed.unsafeCoerce()
    if (outcome.kind === 'found') return answerRepeat(outcome.row)
    this.deps.log.write('callClaimed', { request: requestId, service: call.service })
    return await this.dispatchClaimed(checked, outcome.claim, sentAt)
  }

  /** A claim whose write may have taken effect is abandoned in the background, so that a repeat can run. */
  private claimFailed (row: ClaimRow, failure: Failure): Either<Failure, ServiceAnswer> {
    if (failure.code !== 'notClaimed') return Left(failure)
    this.deps.background.abandonIfWritten(row)
    return Left(failure.ran === 'no' ? failure : new Failure('claimOutcomeUnknown', failure.message, { ran: failure.ran, retryAfterMs: IN_PROGRESS_RETRY_MS }))
  }

  private async dispatchClaimed (checked: CheckedCall, claim: AcquiredClaim, sentAt: Instant): Promise<Either<Failure, ServiceAnswer>> {
    if (elapsedMs(sentAt, this.deps.clock.now()) > MAX_CLAIM_AGE_MS) {
      this.deps.background.abandon(claim)
      return Left(new Failure('notClaimed', 'the claim took too long and was abandoned', { ran: 'no', retryAfterMs: IN_PROGRESS_RETRY_MS }))
    }
    const answer = await this.dispatch(checked)
    answer.caseOf({
      Left: failure => { if (failure.ran === 'no') this.deps.background.abandon(claim) },
      Right: ({ status, contentType, body }) => { this.deps.background.finish(claim, { status, contentType, body }) }
    })
    return answer
  }

  private async dispatch (checked: CheckedCall): Promise<Either<Failure, ServiceAnswer>> {
    const { requestId, startedAt } = checked
    const { clock, metrics, runners, domain } = this.deps
    const collector = new AnswerCollector()
    const dispatch = new CallDispatch({
      clock,
      chooser: new ServiceChooser(checked.service, domain, this.load, clock),
      retries: unboundedRetries,
      client: new ApplicationTargets(runners),
      metrics,
      report: this.report
    })
    const served = await dispatch.serve(admittedOf(checked), collector, open => { checked.dispatched.open = open })
    metrics.record('service_call_ms', elapsedMs(startedAt, clock.now()))
    return served.map(() => ({ ...collector.answer as ApplicationAnswer, requestId, repeated: false }))
  }
}

/** Digest of everything that identifies a call: an idempotency key must not be reused for another service or path either. */
function callDigest ({ service, method, path, digest }: ServiceCall): string {
  return bodyDigest(`${service} ${method} ${path} ${digest}`)
}

/** Converts the call for dispatch: it continues when the caller disconnects, and tokens are not counted. */
function admittedOf ({ call, service, requestId, startedAt, timeoutMs, repeatable }: CheckedCall): AdmittedCall {
  const { method, path, body, contentType, caller } = call
  const policy = { name: call.service, repeat: repeatable ? 'always' : 'never', streamed: false, objectiveMs: timeoutMs, attempts: Object.keys(service.runners).length, retriesFailures: false } as const
  return {
    call: {
      requestId, method, path, headers: contentType === undefined ? [] : [['content-type', contentType]], body, promptTokens: 0, maxTokens: 0, receivedAt: startedAt, gone: new AbortController().signal
    },
    route: policy,
    service: call.service,
    team: caller.team,
    isPrepaid: false,
    priority: 0,
    tokensPerEvent: 1,
    promptParts: [],
    sharedParts: [],
    sharedTokens: 0,
    deadline: startedAt.mono + timeoutMs
  }
}

/** Answer to a repeat of a call that another attempt claimed. */
function answerRepeat (row: ClaimRow): Either<Failure, ServiceAnswer> {
  if (row.state === 'done' && row.answer !== undefined) {
    const { status, contentType, body } = row.answer
    return Right({ status, contentType, body: Buffer.from(body, 'base64'), requestId: row.requestId, repeated: true })
  }
  if (row.state === 'done') return Left(new Failure('claimOutcomeUnknown', 'the call was run; its answer was too large to store', { ran: 'yes' }))
  return Left(new Failure('claimOutcomeUnknown', 'an earlier attempt claimed this call; it may be in progress or may have run', { ran: 'unknown', retryAfterMs: IN_PROGRESS_RETRY_MS }))
}
