/**
 * The attempts of one call, in order, for the log lines of its failure. An attempt without a recorded end may have been executed.
 */
import type { ExecutionStatus, ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'
import { attemptProof, type AttemptRecord, type ExecutionProof } from '@rosemaryspread/decisions/gateway/executionProof.js'
import type { AttemptOutcome } from './callAttempt.js'

/** How an attempt failed. */
export interface AttemptEnd {
  readonly code: ResultName
  readonly ran: ExecutionStatus
  readonly proof: ExecutionProof | undefined
  /** Milliseconds from the start of the attempt. */
  readonly ms: number
}

/** Times are monotonic milliseconds. */
interface StartedAttempt {
  readonly runner: string
  readonly startedAt: number
  end?: AttemptEnd
}

export class AttemptHistory {
  private readonly attempts: StartedAttempt[] = []

  /** End of the latest attempt; undefined before it. */
  get latestEnd (): AttemptEnd | undefined {
    return this.attempts.at(-1)?.end
  }

  /** @param runner - id of the target */
  start (runner: string, now: number): void {
    this.attempts.push({ runner, startedAt: now })
  }

  /** Records the end of the latest attempt; an answer that completed the call has none. */
  end (outcome: AttemptOutcome, now: number): void {
    const latest = this.attempts.at(-1)
    if (latest === undefined || outcome.kind === 'answered') return
    latest.end = { ...causeOf(outcome), ms: Math.round(now - latest.startedAt) }
  }

  /** @param receivedAt - when the call was received */
  records (receivedAt: number, now: number): AttemptRecord[] {
    return this.attempts.map(({ runner, startedAt, end }) => ({
      runner,
      ...(end ?? { ran: 'unknown', ms: Math.round(now - startedAt) }),
      sentMs: Math.round(startedAt - receivedAt)
    }))
  }
}

/** Only an attempt that ended as not run has a proof: the failure of any other one came after the target may have started. */
function causeOf (outcome: Exclude<AttemptOutcome, { kind: 'answered' }>): Omit<AttemptEnd, 'ms'> {
  if (outcome.kind === 'failedAnswer') return { code: 'runnerRefused', ran: 'yes', proof: undefined }
  const { failure: { code, ran } } = outcome
  return { code, ran, proof: outcome.kind === 'notRun' ? attemptProof(code, ran) : undefined }
}
