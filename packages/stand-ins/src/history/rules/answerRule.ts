/**
 * Checks that every caller receives the complete answer to its own request, never part of another
 * request's answer, and at most one final outcome.
 */
import { groupBy, type History } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

/** Recorded runs of one request. */
interface RequestRuns {
  readonly ran: readonly RecordOf<'ran'>[]
  readonly ended: readonly RecordOf<'ended'>[]
}

export class AnswerRule implements HistoryRule {
  readonly name = 'wholeOwnAnswer'
  readonly promise = 'Every caller receives the whole answer to its own request, and never part of another'

  check (history: History): readonly Finding[] {
    const ran = history.byRequest('ran')
    const ended = history.byRequest('ended')
    const attempts = new Map(history.of('asked').map(ask => [ask.ask, ask]))
    const findings = history.of('answered').flatMap(answer => {
      const runs = { ran: ran.get(answer.requestId) ?? [], ended: ended.get(answer.requestId) ?? [] }
      return [...this.checkText(answer, runs), ...this.checkOwnership(answer, attempts.get(answer.ask), runs)]
    })
    return [...findings, ...this.duplicateOutcomes(history)]
  }

  private checkText (answer: RecordOf<'answered'>, runs: RequestRuns): Finding[] {
    if (answer.text === '' && !answer.whole) return []
    if (runs.ran.length === 0) return [{ text: `attempt ${answer.ask} is answered though request ${answer.requestId} never ran`, records: [answer] }]
    if (answer.whole) return this.checkComplete(answer, runs)
    const mayBePrefix = runs.ended.length < runs.ran.length || runs.ended.some(end => end.text.startsWith(answer.text))
    if (mayBePrefix) return []
    return [{ text: `the partial answer of attempt ${answer.ask} is not a prefix of a run of its request`, records: [...runs.ended, answer] }]
  }

  private checkComplete (answer: RecordOf<'answered'>, runs: RequestRuns): Finding[] {
    if (runs.ended.some(end => end.state === 'finished' && end.text === answer.text)) return []
    return [{ text: `the answer of attempt ${answer.ask} is not the complete answer of a run of request ${answer.requestId}`, records: [...runs.ended, answer] }]
  }

  private checkOwnership (answer: RecordOf<'answered'>, attempt: RecordOf<'asked'> | undefined, runs: RequestRuns): Finding[] {
    if (attempt === undefined) return [{ text: `attempt ${answer.ask} is answered but was never recorded as sent`, records: [answer] }]
    if (attempt.requestId !== answer.requestId) {
      return [{ text: `attempt ${attempt.ask} of request ${attempt.requestId} received an answer of request ${answer.requestId}`, records: [attempt, answer] }]
    }
    const mismatched = runs.ran.filter(run => (run.team !== '' && run.team !== attempt.team) || (run.digest !== undefined && run.digest !== attempt.digest))
    if (runs.ran.length === 0 || mismatched.length < runs.ran.length) return []
    return [{ text: `attempt ${attempt.ask} is answered by a run of another body or team`, records: [attempt, ...mismatched, answer] }]
  }

  private duplicateOutcomes (history: History): Finding[] {
    const duplicates = [...groupBy([...history.of('answered'), ...history.of('refused')], record => record.ask)]
      .filter(([, records]) => records.filter(record => record.kind === 'refused' || record.whole).length > 1)
    return duplicates.map(([attemptId, records]) => ({ text: `attempt ${attemptId} has more than one outcome`, records }))
  }
}
