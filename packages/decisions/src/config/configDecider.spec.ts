/**
 * The version in force never decreases and always matches its digest, whatever order versions arrive in.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { MonotonicConfigDecider, type ConfigAction, type ConfigDecider, type ConfigEvent, type ConfigSource, type ConfigStatus } from './configDecider.js'
import { initialConfig, verifyDocument, preparePatch, replayRows, type VerifiedConfig } from './configPatch.js'
import type { VersionRow } from './configRows.js'

const now = { mono: 5, wall: 5 }
const LAST_VERSION = 6
const initial = initialConfig()
const rows: VersionRow[] = []
const versions: VerifiedConfig[] = [initial]
for (let version = 1; version <= LAST_VERSION; version++) {
  const { patch, delta, next } = preparePatch(versions.at(-1)!, [{ op: 'add', path: `/models/m${version}`, value: {} }], 0).unsafeCoerce()
  versions.push(next)
  rows.push({ version, digest: next.digest, patchId: `p${version}`, author: 'a', at: 1, patch: [...patch], delta: [...delta] })
}
const versionRefOf = (version: number): { version: number, digest: string } => ({ version, digest: versions[version]!.digest })
const fullConfigOf = (version: number): { version: number, digest: string, document: VerifiedConfig['document'] } => ({ ...versionRefOf(version), document: versions[version]!.document })

const advertised = (version: number, source: ConfigSource = 'table'): ConfigEvent => ({ kind: 'advertised', source, ref: versionRefOf(version) })
const deliveredRows = (first: number, last: number): ConfigEvent => ({ kind: 'delivered', source: 'table', candidate: { rows: rows.slice(first - 1, last) } })
const whole = (version: number, last = version): ConfigEvent => ({ kind: 'delivered', source: 'snapshot', candidate: { whole: fullConfigOf(version), rows: rows.slice(version, last) } })
const accepted = (version: number): ConfigEvent => ({ kind: 'accepted', source: 'patch', held: versions[version]! })

/** Counter-example: applies the latest delivery, as a plain cache of the newest response would. */
class LastDeliveryDecider implements ConfigDecider {
  inForce: VerifiedConfig | undefined

  get status (): ConfigStatus {
    return { version: this.inForce?.version, advertised: undefined, behindSince: undefined }
  }

  decide (event: ConfigEvent): readonly ConfigAction[] {
    if (event.kind === 'advertised') return []
    const held = event.kind === 'accepted' ? event.held : this.#build(event)
    if (held === undefined) return []
    this.inForce = held
    return [{ kind: 'apply', source: event.source, held }]
  }

  #build ({ candidate }: Extract<ConfigEvent, { kind: 'delivered' }>): VerifiedConfig | undefined {
    const base = candidate.whole === undefined ? versions[(candidate.rows[0]?.version ?? 1) - 1]! : verifyDocument(candidate.whole).unsafeCoerce()
    return replayRows(base, candidate.rows).toMaybe().extract()
  }
}

const appliedVersions = (decider: ConfigDecider, events: readonly ConfigEvent[]): number[] =>
  events.flatMap(event => decider.decide(event, now)).flatMap(action => action.kind === 'apply' ? [action.held.version] : [])

describe('MonotonicConfigDecider', () => {
  const cases: readonly { name: string, events: ConfigEvent[], applied: number[] }[] = [
    { name: 'rows in order', events: [deliveredRows(1, 2), deliveredRows(3, 4)], applied: [2, 4] },
    { name: 'a late delivery that overlaps', events: [deliveredRows(1, 4), deliveredRows(2, 6)], applied: [4, 6] },
    { name: 'an older delivery after a pause', events: [deliveredRows(1, 4), deliveredRows(1, 2)], applied: [4] },
    { name: 'an older snapshot', events: [deliveredRows(1, 4), whole(3)], applied: [4] },
    { name: 'a snapshot and rows', events: [whole(3, 5)], applied: [5] },
    { name: 'rows after a gap', events: [deliveredRows(3, 4), deliveredRows(1, 1)], applied: [1] },
    { name: 'the same version twice', events: [accepted(1), accepted(1), deliveredRows(1, 1)], applied: [1] },
    { name: 'local acceptance after a higher version', events: [whole(4), accepted(2)], applied: [4] },
    { name: 'nothing accepted yet', events: [{ kind: 'delivered', source: 'table', candidate: { rows: [] } }], applied: [0] },
    { name: 'a snapshot with a wrong digest', events: [{ kind: 'delivered', source: 'peer', candidate: { whole: { ...fullConfigOf(3), digest: 'f'.repeat(64) }, rows: [] } }, whole(2)], applied: [2] }
  ]
  for (const { name, events, applied: expected } of cases) {
    it(`applies after ${name}: ${expected.join(', ')}`, () => {
      expect(appliedVersions(new MonotonicConfigDecider(initial), events)).to.deep.equal(expected)
    })
  }

  const advertisements: readonly { name: string, before: ConfigEvent[], event: ConfigEvent, actions: string[], behind: boolean }[] = [
    { name: 'a higher version', before: [deliveredRows(1, 2)], event: advertised(4), actions: ['fetch'], behind: true },
    { name: 'the same version', before: [deliveredRows(1, 2)], event: advertised(2), actions: [], behind: false },
    { name: 'a lower version', before: [deliveredRows(1, 2)], event: advertised(1), actions: [], behind: false },
    { name: 'a different digest for the version in force', before: [deliveredRows(1, 2)], event: { kind: 'advertised', source: 'peer', ref: { version: 2, digest: 'e'.repeat(64) } }, actions: ['reject'], behind: false },
    { name: 'a version that came into force since', before: [advertised(3), deliveredRows(1, 3)], event: advertised(3), actions: [], behind: false }
  ]
  for (const { name, before, event, actions, behind } of advertisements) {
    it(`receives an advertisement of ${name}: ${actions.join() || 'no action'}`, () => {
      const decider = new MonotonicConfigDecider(initial)
      for (const earlier of before) decider.decide(earlier, now)
      expect(decider.decide(event, now).map(action => action.kind)).to.deep.equal(actions)
      expect(decider.status.behindSince !== undefined).to.equal(behind)
    })
  }

  const version = fc.integer({ min: 1, max: LAST_VERSION })
  const anyEvent = fc.oneof(
    version.map(at => advertised(at)),
    fc.tuple(version, version).map(([first, last]) => deliveredRows(Math.min(first, last), Math.max(first, last))),
    fc.tuple(version, version).map(([first, last]) => whole(Math.min(first, last), Math.max(first, last))),
    version.map(accepted)
  )
  const assertNeverDecreases = (make: () => ConfigDecider): void => {
    fc.assert(fc.property(fc.array(anyEvent, { maxLength: 30 }), events => {
      const decider = make()
      const sequence = appliedVersions(decider, events)
      expect(sequence).to.deep.equal([...new Set(sequence)].sort((one, other) => one - other))
      if (decider.inForce !== undefined) expect(decider.inForce.digest).to.equal(versions[decider.inForce.version]!.digest)
    }), { seed: 11, numRuns: 300 })
  }

  it('never lowers the version in force, whatever arrives in whatever order', () => { assertNeverDecreases(() => new MonotonicConfigDecider(initial)) })
  it('differs from a decider that applies the latest delivery (counter-example)', () => {
    expect(() => { assertNeverDecreases(() => new LastDeliveryDecider()) }).to.throw('Property failed')
  })
})
