/**
 * Worker thread of the budget measurement: runs its share of the trials.
 */
import { parentPort, workerData } from 'node:worker_threads'
import type { TrialOrder, TrialResult } from './budgetMeasure.js'
import { runTrial, trialsOf } from './budgetTrial.js'

const { seed, first, step } = workerData as TrialOrder
const trials = trialsOf(seed)
const results: TrialResult[] = []
for (let index = first; index < trials.length; index += step) {
  const trial = trials[index]
  if (trial !== undefined) results.push({ index, row: await runTrial(trial) })
}
parentPort?.postMessage(results)
