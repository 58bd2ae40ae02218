/**
 * Entry point of `npm run scenarios`: runs scenario files, several fleets in parallel, and prints a
 * line of totals. `--soak` runs random scenarios from a seed instead.
 */
import { mkdtemp, readdir, readFile, rm, stat } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { basename, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { parseScenario } from './language/scenarioParser.js'
import type { Scenario } from './language/scenarioSchema.js'
import { runScenario } from './scenarioRun.js'
import { soak } from './soak/soak.js'

const DEFAULT_FOLDER = fileURLToPath(new URL('../../../../scenarios', import.meta.url))
const MAX_FLEETS = 3
const EXIT_FAILED = 1
const EXIT_USAGE = 2

/** A scenario to run, with the expected violation if it is a counter-example. */
interface PlannedRun {
  readonly name: string
  readonly scenario: Scenario
  readonly weakness?: string
  /** The rule that the faulty part must violate. */
  readonly mustBreak?: string
}

async function listFiles (path: string): Promise<readonly string[]> {
  if (!(await stat(path)).isDirectory()) return [path]
  const names = await readdir(path)
  return names.filter(name => name.endsWith('.yaml')).sort().map(name => join(path, name))
}

async function readScenario (file: string): Promise<PlannedRun> {
  const parsed = parseScenario(await readFile(file, 'utf8'))
  return parsed.caseOf({
    Left: failure => {
      console.error(`${file}:\n${failure.errors.join('\n')}`)
      process.exit(EXIT_USAGE)
    },
    Right: scenario => ({ name: basename(file, '.yaml'), scenario })
  })
}

function createCounterExampleRuns ({ name, scenario }: PlannedRun): readonly PlannedRun[] {
  return Object.entries(scenario.counterExamples)
    .map(([weakness, mustBreak]) => ({ name: `${name}-${weakness}`, scenario, weakness, mustBreak }))
}

async function runOne ({ name, scenario, weakness, mustBreak }: PlannedRun, folder: string): Promise<boolean> {
  const verdict = await runScenario(scenario, { folder: join(folder, name), faultyPart: weakness })
  const passed = mustBreak === undefined ? verdict.passed : verdict.brokenRules.includes(mustBreak)
  const description = mustBreak === undefined ? scenario.title : `breaks ${mustBreak} with the faulty part ${weakness}`
  console.log(`${passed ? 'ok    ' : 'FAILED'} ${name} (${verdict.durationMs} ms, ${verdict.records} records): ${description}`)
  if (passed) return true
  console.log(`${verdict.report}\nbroken rules: ${verdict.brokenRules.join(', ') || 'none'}\nhistory: ${join(verdict.folder, 'history.jsonl')}`)
  return false
}

async function runAll (runs: readonly PlannedRun[], folder: string, fleets: number): Promise<number> {
  let next = 0
  let failed = 0
  const worker = async (): Promise<void> => {
    while (next < runs.length) {
      const run = runs[next++]!
      if (!await runOne(run, folder)) failed++
    }
  }
  await Promise.all(Array.from({ length: Math.min(fleets, MAX_FLEETS) }, worker))
  return failed
}

async function main (): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run scenarios --')
    .usage('$0 [FILE|FOLDER...] [options]')
    .option('fleets', { type: 'number', default: MAX_FLEETS, describe: `fleets in parallel, at most ${MAX_FLEETS}` })
    .option('keep', { type: 'string', describe: 'folder that retains histories and output' })
    .option('weak', { type: 'string', describe: 'bind this faulty part in all VMs (test build)' })
    .option('counter-examples', { type: 'boolean', default: false, describe: 'run each scenario with the faulty parts that it lists; the listed promise must break' })
    .option('soak', { type: 'boolean', default: false, describe: 'run random scenarios from a seed' })
    .option('seed', { type: 'string', default: '1', describe: 'seed of the soak' })
    .option('minutes', { type: 'number', default: 1, describe: 'duration of the soak in minutes' })
    .option('round', { type: 'number', describe: 'rerun only this round of the seed' })
    .strictOptions()
    .parse()
  const folder = args.keep ?? await mkdtemp(join(tmpdir(), 'scenarios-'))
  if (args.soak) process.exit(await soak({ seed: args.seed, minutes: args.minutes, folder, round: args.round }) ? 0 : EXIT_FAILED)
  const paths = args._.length > 0 ? args._.map(String) : [DEFAULT_FOLDER]
  const files = (await Promise.all(paths.map(listFiles))).flat()
  const scenarios = await Promise.all(files.map(readScenario))
  const runs = args.counterExamples ? scenarios.flatMap(createCounterExampleRuns) : scenarios.map(run => ({ ...run, ...(args.weak === undefined ? {} : { weakness: args.weak }) }))
  const failed = await runAll(runs, folder, args.fleets)
  if (failed === 0 && args.keep === undefined) await rm(folder, { recursive: true })
  console.log(`${runs.length - failed} passed, ${failed} failed`)
  process.exit(failed === 0 ? 0 : EXIT_FAILED)
}

await main()
