/**
 * Checks that a budget is never overspent: neither by bills at any time, nor by all bills plus the
 * finished runs that are not billed yet.
 */
import type { History } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

export class OverspendRule implements HistoryRule {
  readonly name = 'noOverspend'
  readonly promise = 'The spend of a team never exceeds its prepaid budget'

  check (history: History): readonly Finding[] {
    return [...this.bills(history), ...this.runs(history)]
  }

  private bills (history: History): Finding[] {
    const left = new Map<string, number>()
    const findings: Finding[] = []
    for (const record of history.records) {
      if (record.kind !== 'paid' && record.kind !== 'billed') continue
      const change = record.kind === 'paid' ? record.tokens : -record.tokens
      const now = (left.get(record.budget) ?? 0) + change
      left.set(record.budget, now)
      if (record.kind === 'billed' && now < 0) {
        findings.push({ text: `budget ${record.budget} is billed ${-now} tokens more than was paid`, records: [record] })
      }
    }
    return findings
  }

  /** Adds the cost of finished but unbilled runs to the total of all bills. */
  private runs (history: History): Finding[] {
    const left = new Map<string, number>()
    const spend = (budget: string, tokens: number): number => {
      const now = (left.get(budget) ?? 0) - tokens
      left.set(budget, now)
      return now
    }
    for (const paid of history.of('paid')) spend(paid.budget, -paid.tokens)
    for (const bill of history.of('billed')) spend(bill.budget, bill.tokens)
    return this.unbilled(history).flatMap(({ budget, ended }) => {
      const now = spend(budget, ended.tokens)
      return now < 0 ? [{ text: `bills and unbilled runs cost budget ${budget} ${-now} tokens more than was paid in total`, records: [ended] }] : []
    })
  }

  private unbilled (history: History): Array<{ readonly budget: string, readonly ended: RecordOf<'ended'> }> {
    const billed = history.byRequest('billed')
    const budgets = runBudgets(history.of('ran'))
    return [...history.byRequest('ended')].filter(([requestId]) => !billed.has(requestId)).flatMap(([, ends]) => {
      const ended = ends.find(end => end.state === 'finished')
      const budget = ended === undefined ? undefined : budgets.get(runKey(ended))
      return ended === undefined || budget === undefined ? [] : [{ budget, ended }]
    })
  }
}

function runKey (record: { readonly requestId: string, readonly runner: string }): string {
  return `${record.requestId}@${record.runner}`
}

function runBudgets (runs: readonly RecordOf<'ran'>[]): Map<string, string> {
  return new Map(runs.flatMap(run => run.budget === undefined ? [] : [[runKey(run), run.budget] as const]))
}
