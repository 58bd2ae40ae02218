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
    const balances = new Map<string, number>()
    const findings: Finding[] = []
    for (const record of history.records) {
      if (record.kind !== 'paid' && record.kind !== 'billed') continue
      const change = record.kind === 'paid' ? record.tokens : -record.tokens
      const balance = (balances.get(record.budget) ?? 0) + change
      balances.set(record.budget, balance)
      if (record.kind === 'billed' && balance < 0) {
        findings.push({ text: `budget ${record.budget} is billed ${-balance} tokens more than was paid`, records: [record] })
      }
    }
    return findings
  }

  /** Checks the total of all bills plus the cost of finished but unbilled runs. */
  private runs (history: History): Finding[] {
    const balances = new Map<string, number>()
    const deduct = (budget: string, tokens: number): number => {
      const balance = (balances.get(budget) ?? 0) - tokens
      balances.set(budget, balance)
      return balance
    }
    for (const paid of history.of('paid')) deduct(paid.budget, -paid.tokens)
    for (const bill of history.of('billed')) deduct(bill.budget, bill.tokens)
    return this.unbilledRuns(history).flatMap(({ budget, ended }) => {
      const balance = deduct(budget, ended.tokens)
      return balance < 0 ? [{ text: `bills and unbilled runs cost budget ${budget} ${-balance} tokens more than was paid in total`, records: [ended] }] : []
    })
  }

  private unbilledRuns (history: History): Array<{ readonly budget: string, readonly ended: RecordOf<'ended'> }> {
    const billed = history.byRequest('billed')
    const budgets = budgetsByRun(history.of('ran'))
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

function budgetsByRun (runs: readonly RecordOf<'ran'>[]): Map<string, string> {
  return new Map(runs.flatMap(run => run.budget === undefined ? [] : [[runKey(run), run.budget] as const]))
}
