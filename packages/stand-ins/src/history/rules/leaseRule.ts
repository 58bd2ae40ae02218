/**
 * Checks that each fencing number of a lease has one holder, and that nothing is written under an
 * old number once a newer one was used.
 */
import { groupBy, type History } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

type LeaseRecord = RecordOf<'leaseTaken'> | RecordOf<'leaseWrite'>

export class LeaseRule implements HistoryRule {
  readonly name = 'fencedLease'
  readonly promise = 'Nothing is written under an old fencing number after a newer one was used'

  check (history: History): readonly Finding[] {
    const records = history.records.filter((record): record is LeaseRecord => record.kind === 'leaseTaken' || record.kind === 'leaseWrite')
    return [...groupBy(records, record => record.role)].flatMap(([role, all]) => [...this.sharedNumbers(role, all), ...this.staleWrites(role, all)])
  }

  private sharedNumbers (role: string, records: readonly LeaseRecord[]): Finding[] {
    return [...groupBy(records, record => String(record.fencing))]
      .filter(([, all]) => new Set(all.map(record => record.holder)).size > 1)
      .map(([fencing, all]) => ({ text: `lease ${role} has two holders under fencing number ${fencing}`, records: all }))
  }

  private staleWrites (role: string, records: readonly LeaseRecord[]): Finding[] {
    const findings: Finding[] = []
    let newest: LeaseRecord | undefined
    for (const record of records) {
      if (record.kind === 'leaseWrite' && newest !== undefined && record.fencing < newest.fencing) {
        findings.push({ text: `lease ${role} was used under fencing number ${record.fencing} after ${newest.fencing}`, records: [newest, record] })
      }
      const isWrite = record.kind === 'leaseWrite'
      if (isWrite && (newest === undefined || record.fencing > newest.fencing)) newest = record
    }
    return findings
  }
}
