/**
 * Guards against streams that go on at another version after all VMs ended: the row must name each version that may have begun one of them.
 */
import { expect } from 'chai'
import type { ServiceVersions } from './streamTypes.js'
import { nextVersionRow, versionsInRow, type VersionRow } from './versionRow.js'

const SPAN_MS = 60_000
const COUNTS_MS = 75_000
const NOW = 1_000_000

function rowOf (...versions: ReadonlyArray<readonly [version: string, until: number]>): VersionRow {
  return { versions: versions.map(([version, until]) => ({ version, until })) }
}

const reads: ReadonlyArray<{ readonly name: string, readonly row: VersionRow, readonly versions: ServiceVersions }> = [
  { name: 'the only version, however old', row: rowOf(['1', 0]), versions: { kind: 'sole', version: '1' } },
  { name: 'two versions', row: rowOf(['1', NOW + 1], ['2', NOW + 1]), versions: { kind: 'several' } },
  { name: 'a version that no longer counts', row: rowOf(['1', NOW], ['2', NOW + 1]), versions: { kind: 'sole', version: '2' } },
  { name: 'two versions that no longer count', row: rowOf(['1', NOW - 1], ['2', NOW - 2]), versions: { kind: 'unknown' } },
  { name: 'no version', row: rowOf(), versions: { kind: 'unknown' } }
]

const writes: ReadonlyArray<{ readonly name: string, readonly row?: VersionRow, readonly listed: readonly string[], readonly next?: VersionRow }> = [
  { name: 'the first version', listed: ['1'], next: rowOf(['1', NOW + COUNTS_MS]) },
  { name: 'nothing while no target is listed', listed: [] },
  { name: 'nothing for the only version, however old', row: rowOf(['1', 0]), listed: ['1'] },
  { name: 'a second version, and the first as listed until now', row: rowOf(['1', 0]), listed: ['1', '2'], next: rowOf(['1', NOW + COUNTS_MS], ['2', NOW + COUNTS_MS]) },
  { name: 'a version that replaced the first, and the first as listed until now', row: rowOf(['1', 0]), listed: ['2'], next: rowOf(['1', NOW + COUNTS_MS], ['2', NOW + COUNTS_MS]) },
  { name: 'nothing while two versions count for long enough', row: rowOf(['1', NOW + SPAN_MS], ['2', NOW + SPAN_MS]), listed: ['1', '2'] },
  { name: 'two versions again before they no longer count', row: rowOf(['1', NOW + SPAN_MS - 1], ['2', NOW + SPAN_MS]), listed: ['1', '2'], next: rowOf(['1', NOW + COUNTS_MS], ['2', NOW + COUNTS_MS]) },
  { name: 'nothing for a version that left', row: rowOf(['1', NOW + 5], ['2', NOW + SPAN_MS]), listed: ['2'] },
  { name: 'nothing once one version counts', row: rowOf(['1', NOW - 5], ['2', NOW + 1]), listed: ['2'] },
  { name: 'a version that no longer counted, listed again', row: rowOf(['1', NOW - 5], ['2', NOW + 1]), listed: ['1', '2'], next: rowOf(['2', NOW + COUNTS_MS], ['1', NOW + COUNTS_MS]) }
]

describe('the versions of a service in the store', () => {
  for (const { name, row, versions } of reads) {
    it(`are ${versions.kind} with ${name}`, () => {
      expect(versionsInRow(row, NOW)).to.deep.equal(versions)
    })
  }

  for (const { name, row, listed, next } of writes) {
    it(`are written with ${name}`, () => {
      expect(nextVersionRow(row, listed, NOW, SPAN_MS)).to.deep.equal(next)
    })
  }
})
