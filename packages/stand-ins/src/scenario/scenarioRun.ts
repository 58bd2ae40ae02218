/**
 * One run of one scenario: fleet, steps, rest, history, verdict.
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { checkHistory, renderViolation, type Violation } from '../history/historyChecker.js'
import { renderHistory } from '../history/historyFile.js'
import { History } from '../history/history.js'
import type { HistoryRecord } from '../history/historyTypes.js'
import { TestCaller } from './callers/testCaller.js'
import { Fleet } from './fleet/fleet.js'
import { waitFor } from './fleet/waiting.js'
import type { Scenario, Step } from './language/scenarioSchema.js'
import { StepRunner } from './steps/stepRunner.js'

/** Milliseconds that living VMs get to bill what killed ones left; their own bills are due when they stop. */
const REST_LIMIT_MS = 30_000

/** How a run ended. */
export interface ScenarioVerdict {
  readonly passed: boolean
  /** What went wrong, for people; empty when it passed. */
  readonly report: string
  /** Rules whose promise was broken. */
  readonly broken: readonly string[]
  readonly folder: string
  readonly records: number
  readonly ms: number
}

/** Options of a run. */
export interface RunOptions {
  /** Where settings, output and the history are kept. */
  readonly folder: string
  /** Name of a weaker decider for all VMs. */
  readonly weakness?: string | undefined
}

/**
 * Runs a scenario and judges its history.
 * @param scenario - the scenario
 * @param options - where, and with which deciders
 */
export async function runScenario (scenario: Scenario, options: RunOptions): Promise<ScenarioVerdict> {
  const startedAt = Date.now()
  await mkdir(options.folder, { recursive: true })
  const caller = new TestCaller()
  const faults: string[] = []
  let records: readonly HistoryRecord[] = []
  const links = cutsVms(scenario.steps)
  const fleet = await Fleet.start({ head: scenario.fleet, folder: options.folder, links, weakness: options.weakness })
    .catch((err: unknown) => { faults.push(`the fleet did not start: ${String(err)}`) })
  if (fleet !== undefined) {
    try {
      await runSteps(fleet, caller, scenario, faults)
      records = [...await fleet.history(), ...caller.records]
    } catch (err) {
      faults.push(String(err))
    } finally {
      await fleet.end()
    }
  }
  await writeFile(join(options.folder, 'history.jsonl'), renderHistory(new History(records).records))
  return verdictOf(faults, checkHistory(records), { folder: options.folder, records: records.length, ms: Date.now() - startedAt })
}

async function runSteps (fleet: Fleet, caller: TestCaller, scenario: Scenario, faults: string[]): Promise<void> {
  const runner = new StepRunner(fleet, caller, scenario.fleet)
  await runner.run(scenario.steps).catch((err: Error) => { faults.push(err.message) })
  await fleet.healAll()
  await runner.finish().catch((err: Error) => { faults.push(err.message) })
  if (fleet.hasKilled) await waitFor('all bills', REST_LIMIT_MS, async () => (await unbilled(fleet)).length === 0).catch(() => {})
  const crashed = fleet.crashed()
  if (crashed.length > 0) faults.push(`VMs ended by themselves: ${crashed.join(', ')}`)
  const bad = await fleet.stopAll()
  if (bad.length > 0) faults.push(`VMs did not stop well: ${bad.join(', ')}`)
  fleet.note({ kind: 'settled', at: Date.now() })
}

/** Requests with a finished run of a model and no bill yet. */
async function unbilled (fleet: Fleet): Promise<readonly string[]> {
  const history = new History(await fleet.history())
  const bills = history.byRequest('billed')
  const models = new Set(history.of('ran').filter(run => run.budget !== undefined).map(run => run.requestId))
  return [...history.byRequest('ended')]
    .filter(([id, ends]) => models.has(id) && ends.some(end => end.state === 'finished') && !bills.has(id))
    .map(([id]) => id)
}

function verdictOf (faults: readonly string[], violations: readonly Violation[], run: { readonly folder: string, readonly records: number, readonly ms: number }): ScenarioVerdict {
  const [first] = violations
  const more = violations.length > 1 ? [`and ${violations.length - 1} more`] : []
  const lines = [...faults, ...first === undefined ? [] : [renderViolation(first)], ...more]
  const broken = [...new Set(violations.map(violation => violation.rule))]
  return { ...run, passed: lines.length === 0, report: lines.join('\n'), broken }
}

function cutsVms (steps: readonly Step[]): boolean {
  return steps.some(step => step.verb === 'cut' || (step.verb === 'race' && cutsVms(step.value)))
}
