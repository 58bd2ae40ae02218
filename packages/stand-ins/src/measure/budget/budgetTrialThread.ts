/**
 * Worker thread of the budget measurement: runs its share of the trials.
 */
import { parentPort, workerData } from 'node:worker_threads'
import type { TrialAssignment, TrialResult } from './budgetMeasure.js'
import { runTrial, allTrials } from './budgetTrial.js'

const { seed, first, step } = workerData as TrialAssignment
const trials = allTrials(seed)
const results: TrialResult[] = []
for (let index = first; index < trials.length; index += step) {
  const trial = trials[index]
  if (trial !== undefined) results.push({ index, row: await runTrial(trial) })
}
parentPort?.postMessage(results)
