/**
 * Checks that every caller receives the complete answer to its own request, never part of another
 * request's answer, and at most one final outcome.
 */
import { groupBy, type History } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

/** Recorded runs of one request. */
interface Runs {
  readonly ran: readonly RecordOf<'ran'>[]
  readonly ended: readonly RecordOf<'ended'>[]
}

export class AnswerRule implements HistoryRule {
  readonly name = 'wholeOwnAnswer'
  readonly promise = 'Every caller receives the whole answer to its own request, and never part of another'

  check (history: History): readonly Finding[] {
    const ran = history.byRequest('ran')
    const ended = history.byRequest('ended')
    const asked = new Map(history.of('asked').map(ask => [ask.ask, ask]))
    const findings = history.of('answered').flatMap(answer => {
      const runs = { ran: ran.get(answer.requestId) ?? [], ended: ended.get(answer.requestId) ?? [] }
      return [...this.judgeText(answer, runs), ...this.judgeOwner(answer, asked.get(answer.ask), runs)]
    })
    return [...findings, ...this.outcomes(history)]
  }

  private judgeText (answer: RecordOf<'answered'>, runs: Runs): Finding[] {
    if (answer.text === '' && !answer.whole) return []
    if (runs.ran.length === 0) return [{ text: `attempt ${answer.ask} is answered though request ${answer.requestId} never ran`, records: [answer] }]
    if (answer.whole) return this.judgeWhole(answer, runs)
    const fits = runs.ended.length < runs.ran.length || runs.ended.some(end => end.text.startsWith(answer.text))
    if (fits) return []
    return [{ text: `the partial answer of attempt ${answer.ask} is not a prefix of a run of its request`, records: [...runs.ended, answer] }]
  }

  private judgeWhole (answer: RecordOf<'answered'>, runs: Runs): Finding[] {
    if (runs.ended.some(end => end.state === 'finished' && end.text === answer.text)) return []
    return [{ text: `the answer of attempt ${answer.ask} is not the complete answer of a run of request ${answer.requestId}`, records: [...runs.ended, answer] }]
  }

  private judgeOwner (answer: RecordOf<'answered'>, ask: RecordOf<'asked'> | undefined, runs: Runs): Finding[] {
    if (ask === undefined) return [{ text: `attempt ${answer.ask} is answered but was never recorded as sent`, records: [answer] }]
    if (ask.requestId !== answer.requestId) {
      return [{ text: `attempt ${ask.ask} of request ${ask.requestId} received an answer of request ${answer.requestId}`, records: [ask, answer] }]
    }
    const foreign = runs.ran.filter(run => (run.team !== '' && run.team !== ask.team) || (run.digest !== undefined && run.digest !== ask.digest))
    if (runs.ran.length === 0 || foreign.length < runs.ran.length) return []
    return [{ text: `attempt ${ask.ask} is answered by a run of another body or team`, records: [ask, ...foreign, answer] }]
  }

  private outcomes (history: History): Finding[] {
    const doubled = [...groupBy([...history.of('answered'), ...history.of('refused')], record => record.ask)]
      .filter(([, records]) => records.filter(record => record.kind === 'refused' || record.whole).length > 1)
    return doubled.map(([ask, records]) => ({ text: `attempt ${ask} has more than one outcome`, records }))
  }
}
