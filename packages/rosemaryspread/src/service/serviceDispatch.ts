/**
 * Adapts the service API to call dispatch: application runners as targets, chosen by the fewest open calls,
 * with buffered answers.
 */
import { Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ServiceConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { TargetChoice } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import { MAX_PAUSE_MS, type TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { ApplicationAnswer, ApplicationClient } from '@rosemaryspread/runners/application/applicationTypes.js'
import type { AdmittedCall, AnswerHead, CallRetries, CallSink, TargetAnswer, TargetChooser, TargetClient, TargetRequest, TargetVerdict } from '../gateway/callTypes.js'
import { chooseServiceRunner, type ServiceLoad } from './serviceRoute.js'

const CONTENT_TYPE = 'content-type'
/** Reason logged with each choice. */
const REASON = 'fewest open calls'

/** Chooses application runners of one service. */
export class ServiceChooser implements TargetChooser {
  constructor (
    private readonly service: ServiceConfig,
    private readonly domain: string,
    private readonly load: ServiceLoad,
    private readonly clock: Clock
  ) {}

  choose ({ service }: AdmittedCall, exclude: ReadonlySet<string>): Either<Failure, TargetChoice> {
    return chooseServiceRunner(this.service, this.domain, this.load, [...exclude], this.clock.now().mono)
      .map(({ runner, address, domain, candidates }) => ({ target: { id: runner, service, address, domain }, candidates, reason: REASON, work: 0 }))
  }

  refusal (): undefined {}

  refused (): void {}

  async untilRoom (): Promise<boolean> {
    return false
  }

  sent ({ target }: TargetChoice): number {
    this.load.add(target.id, 1)
    return 0
  }

  endPrefill (): void {}

  recordReport ({ target }: TargetChoice, { pauseMs }: TargetReport): void {
    if (pauseMs !== undefined) this.load.pause(target.id, this.clock.now().mono + Math.min(pauseMs, MAX_PAUSE_MS))
  }

  ended ({ target }: TargetChoice, verdict: TargetVerdict): void {
    this.load.ended(target.id, verdict === 'good', this.clock.now().mono)
    this.load.add(target.id, -1)
  }
}

/** A service call may be tried at each runner in turn. */
export const unboundedRetries: CallRetries = {
  recordFirstAttempt: () => {},
  tryAcquire: () => true
}

/** Application runners as targets. A call is never aborted: it runs to its end or its time limit. */
export class ApplicationTargets implements TargetClient {
  constructor (private readonly client: ApplicationClient) {}

  async send ({ target, requestId, method, path, headers, body, timeoutMs }: TargetRequest, _stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>> {
    const contentType = headers.find(([name]) => name === CONTENT_TYPE)?.[1]
    const answer = await this.client.call(target.address, {
      requestId,
      method: method === 'GET' ? 'GET' : 'POST',
      path,
      ...(contentType === undefined ? {} : { contentType }),
      body,
      timeoutMs
    })
    return answer.ifRight(({ pauseMs }) => { if (pauseMs !== undefined) onReport({ isLeaving: false, pauseMs }) }).map(answerOf)
  }
}

function answerOf ({ status, contentType, body }: ApplicationAnswer): TargetAnswer {
  return {
    head: { status, headers: [[CONTENT_TYPE, contentType]] },
    read: async onBytes => {
      await onBytes(body)
      return Right(undefined)
    }
  }
}

/** Stores the answer of a call for the service API. */
export class AnswerCollector implements CallSink {
  answer: ApplicationAnswer | undefined

  get isStarted (): boolean {
    return this.answer !== undefined
  }

  whole ({ status, headers }: AnswerHead, body: Buffer): void {
    this.answer = { status, contentType: headers.find(([name]) => name === CONTENT_TYPE)?.[1] ?? '', body }
  }

  head (): void {}
  chunk (): undefined {}
  end (): void {}
  cut (): void {}
  refuse (): void {}
}
