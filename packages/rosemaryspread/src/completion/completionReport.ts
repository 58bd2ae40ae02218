/** Writes log lines and metrics of completions: answered, failed attempt, refused. */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { AnswerEnd } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { Metrics } from '../metrics/metricsTypes.js'

export interface ReportDeps {
  readonly log: EventLog
  readonly metrics: Metrics
}

export class CompletionReport {
  constructor (private readonly deps: ReportDeps) {}

  /**
   * Reports a complete answer.
   * @param totalMs - milliseconds since the request was received
   */
  answered (request: string, runner: string, end: AnswerEnd, totalMs: number): void {
    this.deps.metrics.count('answers')
    this.deps.metrics.record('total_ms', totalMs)
    this.deps.log.write('requestAnswered', { request, runner, tokens: end.usage.completionTokens, totalMs })
  }

  /**
   * Reports an attempt that did not return the complete answer.
   * @param retried - whether another runner is tried
   */
  attemptFailed (request: string, runner: string, { code, ran, message }: Failure, retried: boolean): void {
    this.deps.log.write('attemptFailed', { request, code, ran, runner, retried, detail: message })
  }

  /** Reports the failure that ends a request, and returns it for the caller. */
  refused (request: string, team: string, failure: Failure): Failure {
    const { code, ran, retryAfterMs } = failure
    this.deps.metrics.count(`refusals_${code}`)
    this.deps.log.write(ran === 'no' ? 'requestRefused' : 'requestFailed', { request, code, ran, team, retryAfterMs, detail: failure.message })
    return failure
  }
}
