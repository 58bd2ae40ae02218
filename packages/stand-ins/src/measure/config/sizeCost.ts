/**
 * Size of a configuration, and real time to prepare a patch, to replay it and to load the whole
 * configuration, by number of teams.
 */
import { initialConfig, verifyDocument, preparePatch, replayRows, type VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { ConfigDocument, VersionRow } from '@rosemaryspread/decisions/config/configRows.js'
import type { MeasureRow } from '../measureTypes.js'
import { quantile } from './propagationTimes.js'

const TEAMS = [10, 1_000, 8_100]
const RUNNERS = 24
const BATCH_SIZE = 200
const PATCHES = 100
const LOAD_ROUNDS = 10
const HEX = 16
const HASH_DIGITS = 64

const add = (path: string, value: unknown): Record<string, unknown> => ({ op: 'add', path, value })

function createTeam (index: number): object {
  const hash = (ordinal: number): string => (index * 2 + ordinal).toString(HEX).padStart(HASH_DIGITS, '0')
  return { displayName: `Team number ${index}`, budget: `budget-${index}`, models: ['chat'], services: ['bookings'], keyHashes: [hash(0), hash(1)] }
}

function applyPatch (config: VerifiedConfig, operations: readonly unknown[]): VerifiedConfig {
  return preparePatch(config, operations, 0).unsafeCoerce().next
}

function createConfig (teams: number): VerifiedConfig {
  let config = applyPatch(initialConfig(), [add('/models/chat', {}), add('/services/bookings', {})])
  config = applyPatch(config, Array.from({ length: RUNNERS }, (_, index) =>
    add(`/runners/runner-${index}`, { address: `10.0.1.${index + 1}:8000`, domain: `domain-${index % 3}`, models: ['chat'] })))
  for (let first = 0; first < teams; first += BATCH_SIZE) {
    const count = Math.min(BATCH_SIZE, teams - first)
    config = applyPatch(config, Array.from({ length: count }, (_, index) => add(`/teams/team-${first + index}`, createTeam(first + index))))
  }
  return config
}

function recordTime<T> (times: number[], work: () => T): T {
  const from = performance.now()
  const result = work()
  times.push(performance.now() - from)
  return result
}

function summarize (times: readonly number[]): { p50: number, max: number } {
  const sorted = [...times].sort((one, other) => one - other)
  return { p50: Number(quantile(sorted, 0.5).toFixed(1)), max: Number(quantile(sorted, 1).toFixed(1)) }
}

function measureTeams (teams: number): MeasureRow {
  const base = createConfig(teams)
  const prepare: number[] = []
  const replay: number[] = []
  const load: number[] = []
  let current = base
  let replica = base
  for (let patch = 0; patch < PATCHES; patch++) {
    const operations = [{ op: 'replace', path: `/teams/team-${patch % teams}/weight`, value: patch + 2 }]
    const { next, delta } = recordTime(prepare, () => preparePatch(current, operations, 0)).unsafeCoerce()
    const row: VersionRow = { version: next.version, digest: next.digest, patchId: 'p', author: 'a', at: 0, patch: [], delta: structuredClone([...delta]) }
    replica = recordTime(replay, () => replayRows(replica, [row])).unsafeCoerce()
    current = next
  }
  const text = JSON.stringify(current.document)
  for (let index = 0; index < LOAD_ROUNDS; index++) {
    recordTime(load, () => verifyDocument({ ...current, document: JSON.parse(text) as ConfigDocument })).unsafeCoerce()
  }
  return {
    teams,
    wholeBytes: text.length,
    patchP50Ms: summarize(prepare).p50,
    patchMaxMs: summarize(prepare).max,
    replayP50Ms: summarize(replay).p50,
    replayMaxMs: summarize(replay).max,
    wholeLoadP50Ms: summarize(load).p50,
    wholeLoadMaxMs: summarize(load).max
  }
}

/** Measures configurations of all sizes. */
export function measureSizes (): readonly MeasureRow[] {
  return TEAMS.map(measureTeams)
}
