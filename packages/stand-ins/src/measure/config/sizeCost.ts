/**
 * Size of a configuration, and real time to prepare a patch, to replay it and to load the whole
 * configuration, by number of teams.
 */
import { initialConfig, verifyDocument, preparePatch, replayRows, type VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { ConfigDocument, VersionRow } from '@rosemaryspread/decisions/config/configRows.js'
import type { MeasureRow } from '../measureTypes.js'
import { quantile } from './spreadTimes.js'

const TEAMS = [10, 1_000, 8_100]
const RUNNERS = 24
const BATCH = 200
const PATCHES = 100
const LOADS = 10
const HEX = 16
const HASH_DIGITS = 64

const add = (path: string, value: unknown): Record<string, unknown> => ({ op: 'add', path, value })

function teamOf (index: number): object {
  const hash = (part: number): string => (index * 2 + part).toString(HEX).padStart(HASH_DIGITS, '0')
  return { displayName: `Team number ${index}`, budget: `budget-${index}`, models: ['chat'], services: ['bookings'], keyHashes: [hash(0), hash(1)] }
}

function accept (held: VerifiedConfig, operations: readonly unknown[]): VerifiedConfig {
  return preparePatch(held, operations, 0).unsafeCoerce().next
}

function configOf (teams: number): VerifiedConfig {
  let held = accept(initialConfig(), [add('/models/chat', {}), add('/services/bookings', {})])
  held = accept(held, Array.from({ length: RUNNERS }, (_, index) =>
    add(`/runners/runner-${index}`, { address: `10.0.1.${index + 1}:8000`, domain: `domain-${index % 3}`, models: ['chat'] })))
  for (let first = 0; first < teams; first += BATCH) {
    const count = Math.min(BATCH, teams - first)
    held = accept(held, Array.from({ length: count }, (_, index) => add(`/teams/team-${first + index}`, teamOf(first + index))))
  }
  return held
}

function timed<T> (times: number[], work: () => T): T {
  const from = performance.now()
  const result = work()
  times.push(performance.now() - from)
  return result
}

function figures (times: readonly number[]): { p50: number, max: number } {
  const sorted = [...times].sort((one, other) => one - other)
  return { p50: Number(quantile(sorted, 0.5).toFixed(1)), max: Number(quantile(sorted, 1).toFixed(1)) }
}

function measureTeams (teams: number): MeasureRow {
  const base = configOf(teams)
  const prepare: number[] = []
  const replay: number[] = []
  const load: number[] = []
  let held = base
  let copy = base
  for (let patch = 0; patch < PATCHES; patch++) {
    const operations = [{ op: 'replace', path: `/teams/team-${patch % teams}/weight`, value: patch + 2 }]
    const { next, delta } = timed(prepare, () => preparePatch(held, operations, 0)).unsafeCoerce()
    const row: VersionRow = { version: next.version, digest: next.digest, patchId: 'p', author: 'a', at: 0, patch: [], delta: structuredClone([...delta]) }
    copy = timed(replay, () => replayRows(copy, [row])).unsafeCoerce()
    held = next
  }
  const text = JSON.stringify(held.document)
  for (let index = 0; index < LOADS; index++) {
    timed(load, () => verifyDocument({ ...held, document: JSON.parse(text) as ConfigDocument })).unsafeCoerce()
  }
  return {
    teams,
    wholeBytes: text.length,
    patchP50Ms: figures(prepare).p50,
    patchMaxMs: figures(prepare).max,
    replayP50Ms: figures(replay).p50,
    replayMaxMs: figures(replay).max,
    wholeLoadP50Ms: figures(load).p50,
    wholeLoadMaxMs: figures(load).max
  }
}

/** Measures configurations of all sizes. */
export function measureSizes (): readonly MeasureRow[] {
  return TEAMS.map(measureTeams)
}
