/**
 * A budget is never overspent: neither by bills at any moment, nor by what the runs really cost.
 */
import type { History } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

/** No overspend. */
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
        findings.push({ text: `budget ${record.budget} is billed ${-now} tokens beyond what was paid`, records: [record] })
      }
    }
    return findings
  }

  private runs (history: History): Finding[] {
    const left = new Map<string, number>()
    for (const paid of history.of('paid')) left.set(paid.budget, (left.get(paid.budget) ?? 0) + paid.tokens)
    const budgets = runBudgets(history.of('ran'))
    const findings: Finding[] = []
    for (const ended of history.of('ended')) {
      const budget = budgets.get(runKey(ended))
      if (budget === undefined) continue
      const now = (left.get(budget) ?? 0) - ended.tokens
      left.set(budget, now)
      if (now < 0) findings.push({ text: `runs cost budget ${budget} ${-now} tokens more than was paid in the whole`, records: [ended] })
    }
    return findings
  }
}

function runKey (record: { readonly requestId: string, readonly runner: string }): string {
  return `${record.requestId}@${record.runner}`
}

function runBudgets (runs: readonly RecordOf<'ran'>[]): Map<string, string> {
  return new Map(runs.flatMap(run => run.budget === undefined ? [] : [[runKey(run), run.budget] as const]))
}
