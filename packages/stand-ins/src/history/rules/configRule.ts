/**
 * Checks that an accepted configuration version is in force on every reachable VM within the limit
 * and never reverts, neither within a process nor across restarts of a VM.
 */
import { groupBy, type History } from '../history.js'
import type { HistoryRecord, RecordOf } from '../historyTypes.js'
import type { CheckLimits, Finding, HistoryRule } from '../ruleTypes.js'

export class ConfigRule implements HistoryRule {
  readonly name = 'configHolds'
  readonly promise = 'An accepted configuration version is in force on every VM within seconds and never reverts'

  check (history: History, limits: CheckLimits): readonly Finding[] {
    return [...this.forks(history), ...this.unaccepted(history), ...this.reverts(history), ...this.late(history, limits)]
  }

  private forks (history: History): Finding[] {
    return [...groupBy(history.of('configAccepted'), accepted => String(accepted.version))]
      .filter(([, all]) => new Set(all.map(accepted => accepted.patchId)).size > 1)
      .map(([version, all]) => ({ text: `two patches were accepted as version ${version}`, records: all }))
  }

  private unaccepted (history: History): Finding[] {
    const accepted = new Map(history.of('configAccepted').map(record => [record.version, record]))
    const lowest = Math.min(...accepted.keys())
    return history.of('configInForce')
      .filter(record => record.version >= lowest && (accepted.get(record.version)?.at ?? Infinity) > record.at)
      .map(record => ({ text: `version ${record.version} is in force on VM ${record.vm} before it was accepted`, records: [record] }))
  }

  private reverts (history: History): Finding[] {
    return [...groupBy(history.of('configInForce'), record => record.vm)].flatMap(([vm, all]) => {
      const findings: Finding[] = []
      let highest: RecordOf<'configInForce'> | undefined
      for (const record of all) {
        if (highest !== undefined && record.version < highest.version) {
          findings.push({ text: `VM ${vm} reverted from version ${highest.version} to ${record.version}`, records: [highest, record] })
        } else highest = record
      }
      return findings
    })
  }

  private late (history: History, limits: CheckLimits): Finding[] {
    const vms = new Set(history.of('vmUp').map(record => record.vm))
    return [...vms].flatMap(vm => history.of('configAccepted').flatMap(accepted => this.checkVm(history, vm, accepted, limits)))
  }

  private checkVm (history: History, vm: string, accepted: RecordOf<'configAccepted'>, limits: CheckLimits): Finding[] {
    const missedSpan = reachableSpans(history, vm)
      .map(span => ({ ...span, from: Math.max(span.from, accepted.at) }))
      .find(span => span.to - span.from > limits.configPropagationMs && !hadVersionBy(history, vm, accepted.version, span.from + limits.configPropagationMs))
    if (missedSpan === undefined) return []
    return [{ text: `version ${accepted.version} is not in force on VM ${vm} after ${limits.configPropagationMs} ms`, records: [accepted] }]
  }
}

function hadVersionBy (history: History, vm: string, version: number, at: number): boolean {
  return history.of('configInForce').some(record => record.vm === vm && record.version >= version && record.at <= at)
}

interface TimeSpan { readonly from: number, readonly to: number }

/** Time spans in which a VM was running and could reach a working table. */
function reachableSpans (history: History, vm: string): readonly TimeSpan[] {
  const spans: TimeSpan[] = []
  let vmUp = false
  let tableUp = true
  let from: number | undefined
  const applyRecord = (record: HistoryRecord): void => {
    if (record.kind === 'tableUp') tableUp = true
    else if (record.kind === 'tableDown') tableUp = false
    else if (record.kind === 'vmUp' && record.vm === vm) vmUp = true
    else if ((record.kind === 'vmDown' || record.kind === 'vmStopping') && record.vm === vm) vmUp = false
  }
  for (const record of history.records) {
    applyRecord(record)
    if (vmUp && tableUp) from ??= record.at
    else if (from !== undefined) {
      spans.push({ from, to: record.at })
      from = undefined
    }
  }
  return from === undefined ? spans : [...spans, { from, to: history.lastAt }]
}
