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
    return [...this.checkBills(history, bills), ...this.unbilled(history, bills)]
  }

  private checkBills (history: History, bills: ReadonlyMap<string, readonly RecordOf<'billed'>[]>): Finding[] {
    const runs = history.byRequest('ran')
    const ends = history.byRequest('ended')
    const answered = new Set(history.of('answered').filter(answer => answer.whole).map(answer => answer.requestId))
    return [...bills].flatMap(([requestId, all]) => [
      ...this.duplicates(requestId, all),
      ...all.filter(bill => bill.tokens > 0 || answered.has(requestId))
        .flatMap(bill => this.checkBill(bill, runs.get(requestId) ?? [], ends.get(requestId) ?? []))
    ])
  }

  private duplicates (requestId: string, bills: readonly RecordOf<'billed'>[]): Finding[] {
    if (bills.length < 2) return []
    return [{ text: `request ${requestId} is billed ${bills.length} times`, records: bills }]
  }

  private checkBill (bill: RecordOf<'billed'>, runs: readonly RecordOf<'ran'>[], ends: readonly RecordOf<'ended'>[]): Finding[] {
    const earlierRuns = runs.filter(run => run.at <= bill.at)
    if (earlierRuns.length === 0) return [{ text: `request ${bill.requestId} is billed but did not run before the bill`, records: [bill] }]
    if (earlierRuns.every(run => run.budget !== undefined && run.budget !== bill.budget)) {
      return [{ text: `request ${bill.requestId} is billed to budget ${bill.budget} but ran for another`, records: [...earlierRuns, bill] }]
    }
    if (ends.length === 0 || ends.some(end => isAcceptableCost(end, bill.tokens))) return []
    return [{ text: `request ${bill.requestId} is billed ${bill.tokens} tokens, which matches the cost of none of its runs`, records: [...ends, bill] }]
  }

  private unbilled (history: History, bills: ReadonlyMap<string, readonly RecordOf<'billed'>[]>): Finding[] {
    const settledAt = history.settledAt
    if (settledAt === undefined) return []
    const modelRequestIds = new Set(history.of('ran').filter(run => run.budget !== undefined).map(run => run.requestId))
    const unbilledRecords = [
      ...history.of('answered').filter(answer => answer.whole),
      ...history.of('ended').filter(end => end.state === 'finished')
    ].filter(record => record.at <= settledAt && modelRequestIds.has(record.requestId) && !bills.has(record.requestId))
    const firstByRequest = new Map(unbilledRecords.map(record => [record.requestId, record]))
    return [...firstByRequest.values()].map(record => ({ text: `request ${record.requestId} was served but is not billed`, records: [record] }))
  }
}

/** Any amount between the true cost and the usage reported by an over-reporting runner is accepted. */
function isAcceptableCost (end: RecordOf<'ended'>, tokens: number): boolean {
  const maxTokens = Math.max(end.tokens, end.reportedTokens ?? end.tokens)
  return tokens >= end.tokens && tokens <= maxTokens
}
