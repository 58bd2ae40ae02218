/**
 * Entry point for opaque requests: admits a call by the current configuration, dispatches it and ensures
 * that its sink is ended exactly once.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { DrainLimit } from '@rosemaryspread/decisions/gateway/drainLimit.js'
import type { DrainState, RandomSource } from '../completion/completionPorts.js'
import type { CallDispatch } from './callDispatch.js'
import type { CallReport } from './callReport.js'
import type { AdmittedCall, CallSink } from './callTypes.js'
import { admitCall, type PreparedConfig } from './gatewayAdmission.js'
import type { GatewayCall } from './gatewayTypes.js'
import type { OpenCall } from './openCall.js'

/** Retry-After while no configuration is loaded. */
const NO_CONFIG_RETRY_MS = 500
/** Retry-After of a call that was read too late. */
const LATE_RETRY_MS = 100

export interface PipelineDeps {
  readonly clock: Clock
  readonly random: RandomSource
  readonly config: { current (): PreparedConfig | undefined }
  readonly work: DrainState
  readonly drainLimit: Pick<DrainLimit, 'refusal'>
  readonly dispatch: CallDispatch
  readonly log: EventLog
  readonly report: CallReport
}

/** Serves the calls of one VM. */
export class GatewayPipeline {
  constructor (private readonly deps: PipelineDeps) {}

  /** Serves a call; its sink is ended exactly once, whatever happens. */
  async serve (call: GatewayCall, sink: CallSink): Promise<void> {
    const close = this.deps.work.open()
    const dispatched: { open?: OpenCall } = {}
    try {
      const served = await this.admit(call).chain(admitted => this.admitDuringDrain(admitted)).caseOf<Promise<Either<Failure, void>>>({
        Left: async failure => Left(failure),
        Right: async admitted => await this.deps.dispatch.serve(admitted, sink, open => { dispatched.open = open })
      })
      served.ifLeft(failure => { this.fail(call, sink, failure, dispatched.open) })
    } catch (err) {
      this.deps.log.write('fault', { request: call.requestId, err: toFailure(err).message })
      this.fail(call, sink, toFailure(err), dispatched.open)
    } finally {
      close()
    }
  }

  /**
   * Refuses a call that cannot be forwarded before its deadline.
   * @param forwardableAt - monotonic milliseconds of the earliest time at which it can be
   * @returns whether the call was refused
   */
  refuseLate (call: GatewayCall, sink: CallSink, forwardableAt: number): boolean {
    const isLate = this.admit(call).map(({ deadline }) => deadline <= forwardableAt).orDefault(false)
    if (isLate) this.fail(call, sink, new Failure('deadlineExceeded', 'the call was read too late to be forwarded', { ran: 'no', retryAfterMs: LATE_RETRY_MS }))
    return isLate
  }

  /**
   * Why a call of which only the head has been read would be refused, and how long its body may take.
   * @returns monotonic milliseconds of its deadline
   */
  checkHead (head: GatewayCall): Either<Failure, number> {
    return this.admit(head).chain(admitted => this.admitDuringDrain(admitted)).map(({ deadline }) => deadline)
  }

  /** Refuses a call that was not served. */
  refuse (head: GatewayCall, sink: CallSink, failure: Failure): void {
    this.fail(head, sink, failure)
  }

  private admitDuringDrain (admitted: AdmittedCall): Either<Failure, AdmittedCall> {
    const refusal = this.deps.drainLimit.refusal(this.deps.clock.now().mono, admitted.deadline)
    return refusal === undefined ? Right(admitted) : Left(refusal)
  }

  private admit (call: GatewayCall): Either<Failure, AdmittedCall> {
    const prepared = this.deps.config.current()
    if (prepared === undefined) {
      return Left(new Failure('configNotLoaded', 'no configuration is in force yet', { ran: 'no', retryAfterMs: NO_CONFIG_RETRY_MS }))
    }
    return admitCall(call, prepared, this.deps.random.next())
  }

  private fail (call: GatewayCall, sink: CallSink, failure: Failure, open?: OpenCall): void {
    this.deps.report.failed(call, failure, open)
    if (sink.isStarted) sink.cut()
    else sink.refuse(failure)
  }
}
