/**
 * Guards against guessed versions of streams: what VMs know must agree, and a register that changed unseen proves nothing.
 */
import { expect } from 'chai'
import type { TargetView } from '../gateway/targetSet.js'
import { ASKED_VMS, StreamHolders, TOLD_VMS } from './streamHolders.js'
import { StreamRecords } from './streamRecords.js'
import type { ServiceVersions, StreamAnswer } from './streamTypes.js'
import { decideVersion } from './streamVersion.js'
import { VersionHistory } from './versionHistory.js'

const SPAN_MS = 1_000
const unknown: ServiceVersions = { kind: 'unknown' }
const several: ServiceVersions = { kind: 'several' }
const sole = (version: string): ServiceVersions => ({ kind: 'sole', version })
const record = (version: string): StreamAnswer => ({ version, service: several })

interface DecisionCase {
  readonly name: string
  readonly own: ServiceVersions
  readonly answers: readonly StreamAnswer[]
  readonly version?: string
}

const decisions: readonly DecisionCase[] = [
  { name: 'a record of another VM', own: several, answers: [{ service: several }, record('1')], version: '1' },
  { name: 'two records that differ', own: several, answers: [record('1'), record('2')] },
  { name: 'several versions and no record', own: several, answers: [{ service: sole('1') }] },
  { name: 'one version for this VM, several for another', own: sole('1'), answers: [{ service: several }] },
  { name: 'one version for all', own: sole('1'), answers: [{ service: sole('1') }, { service: unknown }], version: '1' },
  { name: 'another version for each', own: sole('1'), answers: [{ service: sole('2') }] },
  { name: 'a version without a name', own: sole(''), answers: [], version: '' },
  { name: 'one version for another VM only', own: unknown, answers: [{ service: sole('1') }], version: '1' },
  { name: 'nothing', own: unknown, answers: [{ service: unknown }] }
]

describe('decideVersion', () => {
  for (const { name, own, answers, version } of decisions) {
    it(`${version === undefined ? 'does not know' : 'knows'} the version from ${name}`, () => {
      expect(decideVersion(own, answers)?.version).to.equal(version)
    })
  }
})

describe('VersionHistory', () => {
  const target = (id: string, version: string): TargetView => ({ id, version, service: 's', address: id, domain: 'd', slots: 1, isLeaving: false })
  interface HistoryCase {
    readonly name: string
    readonly run: (history: VersionHistory) => void
    /** Versions that the store has; version 1 alone if absent. */
    readonly stored?: ServiceVersions
    readonly versions: ServiceVersions
  }
  const cases: readonly HistoryCase[] = [
    { name: 'an unread register', run: () => {}, versions: unknown },
    { name: 'one version', run: history => { history.readSucceeded() }, versions: sole('1') },
    { name: 'one version, however long it was read, that the store does not have', run: history => { history.readSucceeded() }, stored: unknown, versions: unknown },
    { name: 'one version where the store has another', run: history => { history.readSucceeded() }, stored: sole('2'), versions: several },
    { name: 'one version where the store has several', run: history => { history.readSucceeded() }, stored: several, versions: several },
    {
      name: 'one version, but the register cannot be read now',
      run: history => {
        history.readSucceeded()
        history.readFailed()
      },
      versions: unknown
    },
    {
      name: 'a version that is gone within the time',
      run: history => {
        history.readSucceeded()
        history.observe([target('b', '2')], 1)
      },
      versions: several
    },
    {
      name: 'a version that is gone for longer',
      run: history => {
        history.readSucceeded()
        history.observe([target('b', '2')], -1)
      },
      versions: sole('1')
    }
  ]
  for (const { name, run, stored = sole('1'), versions } of cases) {
    it(`finds ${versions.kind} for ${name}`, () => {
      const history = new VersionHistory()
      run(history)
      history.observe([target('a', '1')], SPAN_MS)
      expect(history.versions('s', SPAN_MS, SPAN_MS, stored)).to.deep.equal(versions)
    })
  }
})

describe('StreamHolders', () => {
  it('are asked by each VM, whoever was told', () => {
    const holders = new StreamHolders()
    const vms = Array.from({ length: 40 }, (_, index) => `vm-${index}`)
    const without = (name: string): readonly string[] => vms.filter(vm => vm !== name)
    for (let stream = 0; stream < 200; stream += 1) {
      const told = holders.highest(`${stream}`, without('vm-1'), vm => vm, TOLD_VMS)
      const asked = ['vm-2', ...holders.highest(`${stream}`, without('vm-2'), vm => vm, ASKED_VMS)]
      expect(told).to.have.length(TOLD_VMS)
      expect(asked).to.include.members([...told])
    }
  })
})

describe('StreamRecords', () => {
  it('drop records that are too old, but not those that were renewed', () => {
    const records = new StreamRecords()
    records.add('a', '1', 0)
    records.add('b', '1', 0)
    records.add('a', '1', 500)
    records.forget(SPAN_MS, 1_200)
    expect([records.versionOf('a'), records.versionOf('b')]).to.deep.equal(['1', undefined])
  })
})
