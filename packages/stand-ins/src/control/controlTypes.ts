/**
 * Messages that tests send to the control port of a stand-in. All fields are optional; an omitted field keeps its
 * current value.
 */
import * as z from 'zod'

const count = z.number().int().nonnegative()

/** Faults of every stand-in. */
export const controlSchema = z.strictObject({
  /** Requests get status 503 and have no effect. */
  outage: z.boolean(),
  /** Delay of each request before it takes effect, in milliseconds. */
  slowMs: z.number().nonnegative(),
  /** Number of upcoming writes that take effect but whose answer is lost. */
  loseAnswers: count,
  /** The serving port is closed: new connections are refused and open ones are cut. */
  refuse: z.boolean(),
  /** VMs whose connections are cut before a request takes effect. */
  cut: z.array(z.string())
}).partial()
export type Control = z.infer<typeof controlSchema>

/** Additional settings of engines and application runners. */
export const runnerControlSchema = controlSchema.extend({
  /** Whether the runner refuses new work. */
  leaving: z.boolean().optional()
})
export type RunnerControl = z.infer<typeof runnerControlSchema>

/** Additional faults and settings of engines. */
export const engineControlSchema = runnerControlSchema.extend({
  /** Cuts all streams and aborts the unfinished runs. */
  killStreams: z.boolean().optional(),
  /** The next stream that sends its second piece also sends a piece of another run. */
  mixNext: z.boolean().optional(),
  /** The next run to finish reports this many tokens above its limit. */
  overreportNext: z.number().int().positive().optional(),
  /** The next stream that ends sends its last event twice. */
  doubleEnd: z.boolean().optional(),
  /** Milliseconds per token of a single run. */
  msPerToken: z.number().positive().optional(),
  /** While true, all cache events are lost. */
  dropCacheEvents: z.boolean().optional()
})
export type EngineControl = z.infer<typeof engineControlSchema>

/** Current settings of the common faults. */
export interface FaultSwitches {
  outage: boolean
  slowMs: number
  loseAnswers: number
  refuse: boolean
  cut: ReadonlySet<string>
}

export function noFaults (): FaultSwitches {
  return { outage: false, slowMs: 0, loseAnswers: 0, refuse: false, cut: new Set() }
}
