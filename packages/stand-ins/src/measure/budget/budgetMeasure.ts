/**
 * `npm run measure -- budgets`: overspend and false refusals of the product and of the baselines
 * under each fault. Trials are independent and run on a few threads.
 */
import { once } from 'node:events'
import { availableParallelism } from 'node:os'
import { Worker } from 'node:worker_threads'
import type { Measurement, MeasureRow } from '../measureTypes.js'

const MAX_THREADS = 4

/** Trials that one thread runs. */
export interface TrialAssignment {
  readonly seed: string
  /** The thread runs every `step`th trial, starting at index `first`. */
  readonly first: number
  readonly step: number
}

/** Result of one trial, as a thread sends it. */
export interface TrialResult {
  readonly index: number
  readonly row: MeasureRow
}

async function runThread (assignment: TrialAssignment): Promise<readonly TrialResult[]> {
  const worker = new Worker(new URL('./budgetTrialThread.js', import.meta.url), { workerData: assignment })
  const [results] = await once(worker, 'message') as [readonly TrialResult[]]
  return results
}

/** Budget strategies under faults. */
export const budgetMeasure: Measurement = {
  group: 'measure',
  name: 'budgets',
  title: 'overspend and false refusals of prepaid budgets under faults',
  async run ({ seed }): Promise<readonly MeasureRow[]> {
    const step = Math.min(MAX_THREADS, availableParallelism())
    const results = await Promise.all(Array.from({ length: step }, async (_, first) => await runThread({ seed, first, step })))
    return results.flat().sort((a, b) => a.index - b.index).map(result => result.row)
  }
}
