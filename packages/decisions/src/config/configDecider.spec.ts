/**
 * The version in force never decreases and always matches its digest, whatever order versions arrive in.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { ConfigHolder, type ConfigAction, type ConfigDecider, type ConfigEvent, type ConfigSource, type ConfigStatus } from './configDecider.js'
import { firstConfig, holdDocument, preparePatch, replayRows, type HeldConfig } from './configPatch.js'
import type { VersionRow } from './configRows.js'

const now = { mono: 5, wall: 5 }
const LAST = 6
const origin = firstConfig()
const rows: VersionRow[] = []
const versions: HeldConfig[] = [origin]
for (let version = 1; version <= LAST; version++) {
  const { patch, delta, next } = preparePatch(versions.at(-1)!, [{ op: 'add', path: `/models/m${version}`, value: {} }], 0).unsafeCoerce()
  versions.push(next)
  rows.push({ version, digest: next.digest, patchId: `p${version}`, author: 'a', at: 1, patch: [...patch], delta: [...delta] })
}
const markOf = (version: number): { version: number, digest: string } => ({ version, digest: versions[version]!.digest })
const wholeOf = (version: number): { version: number, digest: string, document: HeldConfig['document'] } => ({ ...markOf(version), document: versions[version]!.document })

const heard = (version: number, source: ConfigSource = 'table'): ConfigEvent => ({ kind: 'heard', source, mark: markOf(version) })
const rowsOf = (first: number, last: number): ConfigEvent => ({ kind: 'delivered', source: 'table', candidate: { rows: rows.slice(first - 1, last) } })
const whole = (version: number, last = version): ConfigEvent => ({ kind: 'delivered', source: 'snapshot', candidate: { whole: wholeOf(version), rows: rows.slice(version, last) } })
const accepted = (version: number): ConfigEvent => ({ kind: 'accepted', source: 'patch', held: versions[version]! })

/** Counter-example: applies the latest delivery, as a plain cache of the newest response would. */
class LastAnswerHolder implements ConfigDecider {
  inForce: HeldConfig | undefined

  get status (): ConfigStatus {
    return { version: this.inForce?.version, heard: undefined, behindSince: undefined }
  }

  decide (event: ConfigEvent): readonly ConfigAction[] {
    if (event.kind === 'heard') return []
    const held = event.kind === 'accepted' ? event.held : this.#build(event)
    if (held === undefined) return []
    this.inForce = held
    return [{ kind: 'apply', source: event.source, held }]
  }

  #build ({ candidate }: Extract<ConfigEvent, { kind: 'delivered' }>): HeldConfig | undefined {
    const base = candidate.whole === undefined ? versions[(candidate.rows[0]?.version ?? 1) - 1]! : holdDocument(candidate.whole).unsafeCoerce()
    return replayRows(base, candidate.rows).toMaybe().extract()
  }
}

const applied = (holder: ConfigDecider, events: readonly ConfigEvent[]): number[] =>
  events.flatMap(event => holder.decide(event, now)).flatMap(action => action.kind === 'apply' ? [action.held.version] : [])

describe('ConfigHolder', () => {
  const cases: readonly { name: string, events: ConfigEvent[], applied: number[] }[] = [
    { name: 'rows in order', events: [rowsOf(1, 2), rowsOf(3, 4)], applied: [2, 4] },
    { name: 'a late delivery that overlaps', events: [rowsOf(1, 4), rowsOf(2, 6)], applied: [4, 6] },
    { name: 'an older delivery after a pause', events: [rowsOf(1, 4), rowsOf(1, 2)], applied: [4] },
    { name: 'an older snapshot', events: [rowsOf(1, 4), whole(3)], applied: [4] },
    { name: 'a snapshot and rows', events: [whole(3, 5)], applied: [5] },
    { name: 'rows after a gap', events: [rowsOf(3, 4), rowsOf(1, 1)], applied: [1] },
    { name: 'the same version twice', events: [accepted(1), accepted(1), rowsOf(1, 1)], applied: [1] },
    { name: 'local acceptance after a higher version', events: [whole(4), accepted(2)], applied: [4] },
    { name: 'nothing accepted yet', events: [{ kind: 'delivered', source: 'table', candidate: { rows: [] } }], applied: [0] },
    { name: 'a snapshot with a wrong digest', events: [{ kind: 'delivered', source: 'peer', candidate: { whole: { ...wholeOf(3), digest: 'f'.repeat(64) }, rows: [] } }, whole(2)], applied: [2] }
  ]
  for (const { name, events, applied: expected } of cases) {
    it(`applies after ${name}: ${expected.join(', ')}`, () => {
      expect(applied(new ConfigHolder(origin), events)).to.deep.equal(expected)
    })
  }

  const hearings: readonly { name: string, before: ConfigEvent[], event: ConfigEvent, actions: string[], behind: boolean }[] = [
    { name: 'a higher version', before: [rowsOf(1, 2)], event: heard(4), actions: ['fetch'], behind: true },
    { name: 'the same version', before: [rowsOf(1, 2)], event: heard(2), actions: [], behind: false },
    { name: 'a lower version', before: [rowsOf(1, 2)], event: heard(1), actions: [], behind: false },
    { name: 'a different digest for the version in force', before: [rowsOf(1, 2)], event: { kind: 'heard', source: 'peer', mark: { version: 2, digest: 'e'.repeat(64) } }, actions: ['reject'], behind: false },
    { name: 'a version that came into force since', before: [heard(3), rowsOf(1, 3)], event: heard(3), actions: [], behind: false }
  ]
  for (const { name, before, event, actions, behind } of hearings) {
    it(`receives an advertisement of ${name}: ${actions.join() || 'no action'}`, () => {
      const holder = new ConfigHolder(origin)
      for (const earlier of before) holder.decide(earlier, now)
      expect(holder.decide(event, now).map(action => action.kind)).to.deep.equal(actions)
      expect(holder.status.behindSince !== undefined).to.equal(behind)
    })
  }

  const version = fc.integer({ min: 1, max: LAST })
  const anyEvent = fc.oneof(
    version.map(at => heard(at)),
    fc.tuple(version, version).map(([first, last]) => rowsOf(Math.min(first, last), Math.max(first, last))),
    fc.tuple(version, version).map(([first, last]) => whole(Math.min(first, last), Math.max(first, last))),
    version.map(accepted)
  )
  const neverFalls = (make: () => ConfigDecider): void => {
    fc.assert(fc.property(fc.array(anyEvent, { maxLength: 30 }), events => {
      const holder = make()
      const sequence = applied(holder, events)
      expect(sequence).to.deep.equal([...new Set(sequence)].sort((one, other) => one - other))
      if (holder.inForce !== undefined) expect(holder.inForce.digest).to.equal(versions[holder.inForce.version]!.digest)
    }), { seed: 11, numRuns: 300 })
  }

  it('never lowers the version in force, whatever arrives in whatever order', () => { neverFalls(() => new ConfigHolder(origin)) })
  it('differs from a decider that applies the latest delivery (counter-example)', () => {
    expect(() => { neverFalls(() => new LastAnswerHolder()) }).to.throw('Property failed')
  })
})
