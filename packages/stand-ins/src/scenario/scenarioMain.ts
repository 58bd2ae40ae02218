/**
 * Entry point of `npm run scenarios`: runs scenario files, a few fleets at a time, and ends with
 * one line of counts. `--soak` runs random scenarios from a seed instead.
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
const MOST_FLEETS = 3
const EXIT_FAILED = 1
const EXIT_USAGE = 2

interface NamedScenario {
  readonly name: string
  readonly scenario: Scenario
}

async function filesOf (path: string): Promise<readonly string[]> {
  if (!(await stat(path)).isDirectory()) return [path]
  const names = await readdir(path)
  return names.filter(name => name.endsWith('.yaml')).sort().map(name => join(path, name))
}

async function readScenario (file: string): Promise<NamedScenario> {
  const parsed = parseScenario(await readFile(file, 'utf8'))
  return parsed.caseOf({
    Left: failure => {
      console.error(`${file}:\n${failure.errors.join('\n')}`)
      process.exit(EXIT_USAGE)
    },
    Right: scenario => ({ name: basename(file, '.yaml'), scenario })
  })
}

async function runAll (scenarios: readonly NamedScenario[], folder: string, fleets: number, weakness: string | undefined): Promise<number> {
  let next = 0
  let failed = 0
  const worker = async (): Promise<void> => {
    while (next < scenarios.length) {
      const { name, scenario } = scenarios[next++]!
      const verdict = await runScenario(scenario, { folder: join(folder, name), weakness })
      console.log(`${verdict.passed ? 'ok    ' : 'FAILED'} ${name} (${verdict.ms} ms, ${verdict.records} records): ${scenario.title}`)
      if (verdict.passed) continue
      failed++
      console.log(`${verdict.report}\nbroken rules: ${verdict.broken.join(', ') || 'none'}\nhistory: ${join(verdict.folder, 'history.jsonl')}`)
    }
  }
  await Promise.all(Array.from({ length: Math.min(fleets, MOST_FLEETS) }, worker))
  return failed
}

async function main (): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run scenarios --')
    .usage('$0 [FILE|FOLDER...] [options]')
    .option('fleets', { type: 'number', default: MOST_FLEETS, describe: `fleets at a time, at most ${MOST_FLEETS}` })
    .option('keep', { type: 'string', describe: 'folder in which histories and output stay' })
    .option('weak', { type: 'string', describe: 'bind this weaker decider in all VMs (test build)' })
    .option('soak', { type: 'boolean', default: false, describe: 'random scenarios from a seed' })
    .option('seed', { type: 'string', default: '1', describe: 'seed of the soak' })
    .option('minutes', { type: 'number', default: 1, describe: 'length of the soak' })
    .strictOptions()
    .parse()
  const folder = args.keep ?? await mkdtemp(join(tmpdir(), 'scenarios-'))
  if (args.soak) process.exit(await soak({ seed: args.seed, minutes: args.minutes, folder }) ? 0 : EXIT_FAILED)
  const paths = args._.length > 0 ? args._.map(String) : [DEFAULT_FOLDER]
  const files = (await Promise.all(paths.map(filesOf))).flat()
  const scenarios = await Promise.all(files.map(readScenario))
  const failed = await runAll(scenarios, folder, args.fleets, args.weak)
  if (failed === 0 && args.keep === undefined) await rm(folder, { recursive: true })
  console.log(`${scenarios.length - failed} passed, ${failed} failed`)
  process.exit(failed === 0 ? 0 : EXIT_FAILED)
}

await main()
