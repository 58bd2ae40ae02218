/** What the log and the metrics learn of a completion: answered, an attempt failed, refused. */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { AnswerEnd } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { Metrics } from '../metrics/metricsTypes.js'

/** Where reports go. */
export interface ReportDeps {
  readonly log: EventLog
  readonly metrics: Metrics
}

/** Reports of one VM. */
export class CompletionReport {
  constructor (private readonly deps: ReportDeps) {}

  /**
   * The whole answer went out.
   * @param request - request id
   * @param runner - the runner that gave it
   * @param end - how the answer ended
   * @param totalMs - milliseconds since the request came
   */
  answered (request: string, runner: string, end: AnswerEnd, totalMs: number): void {
    this.deps.metrics.count('answers')
    this.deps.metrics.record('total_ms', totalMs)
    this.deps.log.write('requestAnswered', { request, runner, tokens: end.usage.completionTokens, totalMs })
  }

  /**
   * One runner did not give the whole answer.
   * @param request - request id
   * @param runner - the runner
   * @param failure - what happened
   * @param retried - whether another runner is tried
   */
  attemptFailed (request: string, runner: string, { code, ran, message }: Failure, retried: boolean): void {
    this.deps.log.write('attemptFailed', { request, runner, code, ran, retried, detail: message })
  }

  /**
   * The caller gets a failure.
   * @param request - request id
   * @param team - team of the caller
   * @param failure - the failure
   * @returns the same failure
   */
  refused (request: string, team: string, failure: Failure): Failure {
    const { code, ran, retryAfterMs } = failure
    this.deps.metrics.count(`refusals_${code}`)
    this.deps.log.write(ran === 'no' ? 'requestRefused' : 'requestFailed', { request, team, code, ran, retryAfterMs, detail: failure.message })
    return failure
  }
}
