/**
 * Checks that each request is billed exactly once: never twice, never without a run, and after
 * `settled` every finished run and every complete answer has a bill with the tokens of a run. A
 * bill of zero tokens closes a request that the system failed.
 */
import type { History } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

export class BillingRule implements HistoryRule {
  readonly name = 'billedOnce'
  readonly promise = 'Each request is billed exactly once'

  check (history: History): readonly Finding[] {
    const bills = history.byRequest('billed')
    return [...this.judgeBills(history, bills), ...this.missing(history, bills)]
  }

  private judgeBills (history: History, bills: ReadonlyMap<string, readonly RecordOf<'billed'>[]>): Finding[] {
    const runs = history.byRequest('ran')
    const ends = history.byRequest('ended')
    const answered = new Set(history.of('answered').filter(answer => answer.whole).map(answer => answer.requestId))
    return [...bills].flatMap(([requestId, all]) => [
      ...this.twice(requestId, all),
      ...all.filter(bill => bill.tokens > 0 || answered.has(requestId))
        .flatMap(bill => this.judgeBill(bill, runs.get(requestId) ?? [], ends.get(requestId) ?? []))
    ])
  }

  private twice (requestId: string, bills: readonly RecordOf<'billed'>[]): Finding[] {
    if (bills.length < 2) return []
    return [{ text: `request ${requestId} is billed ${bills.length} times`, records: bills }]
  }

  private judgeBill (bill: RecordOf<'billed'>, runs: readonly RecordOf<'ran'>[], ends: readonly RecordOf<'ended'>[]): Finding[] {
    const before = runs.filter(run => run.at <= bill.at)
    if (before.length === 0) return [{ text: `request ${bill.requestId} is billed but did not run before the bill`, records: [bill] }]
    if (before.every(run => run.budget !== undefined && run.budget !== bill.budget)) {
      return [{ text: `request ${bill.requestId} is billed to budget ${bill.budget} but ran for another`, records: [...before, bill] }]
    }
    if (ends.length === 0 || ends.some(end => costs(end, bill.tokens))) return []
    return [{ text: `request ${bill.requestId} is billed ${bill.tokens} tokens, which matches the cost of none of its runs`, records: [...ends, bill] }]
  }

  private missing (history: History, bills: ReadonlyMap<string, readonly RecordOf<'billed'>[]>): Finding[] {
    const settledAt = history.settledAt
    if (settledAt === undefined) return []
    const models = new Set(history.of('ran').filter(run => run.budget !== undefined).map(run => run.requestId))
    const owed = [
      ...history.of('answered').filter(answer => answer.whole),
      ...history.of('ended').filter(end => end.state === 'finished')
    ].filter(record => record.at <= settledAt && models.has(record.requestId) && !bills.has(record.requestId))
    const first = new Map(owed.map(record => [record.requestId, record]))
    return [...first.values()].map(record => ({ text: `request ${record.requestId} was served but is not billed`, records: [record] }))
  }
}

/** Any amount between the true cost and the usage reported by an over-reporting runner is accepted. */
function costs (end: RecordOf<'ended'>, tokens: number): boolean {
  const most = Math.max(end.tokens, end.reportedTokens ?? end.tokens)
  return tokens >= end.tokens && tokens <= most
}
