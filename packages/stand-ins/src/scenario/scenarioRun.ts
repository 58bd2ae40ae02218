/**
 * Runs one scenario: starts the fleet, runs the steps, waits until the system is idle, then checks
 * the recorded history.
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { checkHistory, renderViolation, type Violation } from '../history/historyChecker.js'
import { renderHistory } from '../history/historyFile.js'
import { History } from '../history/history.js'
import type { HistoryRecord } from '../history/historyTypes.js'
import { TestCaller } from './callers/testCaller.js'
import { Fleet } from './fleet/fleet.js'
import { waitFor } from './fleet/waitFor.js'
import type { Scenario, Step } from './language/scenarioSchema.js'
import { StepRunner } from './steps/stepRunner.js'

/** Time for live VMs to bill the runs of killed ones; their own bills are due when they stop. */
const BILLING_TIMEOUT_MS = 30_000

/** Result of a run. */
export interface ScenarioVerdict {
  readonly passed: boolean
  /** Human-readable errors and the first violation; empty when the run passed. */
  readonly report: string
  /** Names of the rules whose promise was broken. */
  readonly brokenRules: readonly string[]
  readonly folder: string
  /** Number of history records. */
  readonly records: number
  readonly durationMs: number
}

export interface RunOptions {
  /** Folder for settings, process output and the history. */
  readonly folder: string
  /** Name of the faulty part to bind in all VMs. */
  readonly faultyPart?: string | undefined
}

/** Runs a scenario, writes its history to `history.jsonl` and checks it. */
export async function runScenario (scenario: Scenario, options: RunOptions): Promise<ScenarioVerdict> {
  const startedAt = Date.now()
  await mkdir(options.folder, { recursive: true })
  const caller = new TestCaller()
  const errors: string[] = []
  let records: readonly HistoryRecord[] = []
  const links = hasCutStep(scenario.steps)
  const fleet = await Fleet.start({ definition: scenario.fleet, folder: options.folder, links, faultyPart: options.faultyPart })
    .catch((err: unknown) => { errors.push(`the fleet did not start: ${String(err)}`) })
  if (fleet !== undefined) {
    try {
      await runSteps(fleet, caller, scenario, errors)
      records = [...await fleet.history(), ...caller.records]
    } catch (err) {
      errors.push(String(err))
    } finally {
      await fleet.killAll()
    }
  }
  await writeFile(join(options.folder, 'history.jsonl'), renderHistory(new History(records).records))
  return createVerdict(errors, checkHistory(records), { folder: options.folder, records: records.length, durationMs: Date.now() - startedAt })
}

async function runSteps (fleet: Fleet, caller: TestCaller, scenario: Scenario, errors: string[]): Promise<void> {
  const runner = new StepRunner(fleet, caller, scenario.fleet)
  await runner.run(scenario.steps).catch((err: Error) => { errors.push(err.message) })
  await fleet.healAll()
  await runner.finish().catch((err: Error) => { errors.push(err.message) })
  if (fleet.hasKilledVms) await waitFor('all bills', BILLING_TIMEOUT_MS, async () => (await unbilledRequests(fleet)).length === 0).catch(() => {})
  const crashed = fleet.crashedVms()
  if (crashed.length > 0) errors.push(`VMs exited unexpectedly: ${crashed.join(', ')}`)
  const failedStops = await fleet.stopAll()
  if (failedStops.length > 0) errors.push(`VMs did not stop cleanly: ${failedStops.join(', ')}`)
  fleet.addRecord({ kind: 'settled', at: Date.now() })
}

/** Ids of requests with a finished model run and no bill yet. */
async function unbilledRequests (fleet: Fleet): Promise<readonly string[]> {
  const history = new History(await fleet.history())
  const bills = history.byRequest('billed')
  const modelRequestIds = new Set(history.of('ran').filter(run => run.budget !== undefined).map(run => run.requestId))
  return [...history.byRequest('ended')]
    .filter(([id, ends]) => modelRequestIds.has(id) && ends.some(end => end.state === 'finished') && !bills.has(id))
    .map(([id]) => id)
}

function createVerdict (errors: readonly string[], violations: readonly Violation[], run: { readonly folder: string, readonly records: number, readonly durationMs: number }): ScenarioVerdict {
  const [first] = violations
  const more = violations.length > 1 ? [`and ${violations.length - 1} more`] : []
  const lines = [...errors, ...first === undefined ? [] : [renderViolation(first)], ...more]
  const brokenRules = [...new Set(violations.map(violation => violation.rule))]
  return { ...run, passed: lines.length === 0, report: lines.join('\n'), brokenRules }
}

function hasCutStep (steps: readonly Step[]): boolean {
  return steps.some(step => step.verb === 'cut' || (step.verb === 'race' && hasCutStep(step.value)))
}
