/**
 * What tests send to the control port of a stand-in. Every member is optional; what is left out
 * keeps its setting.
 */
import * as z from 'zod'

const count = z.number().int().nonnegative()

/** Faults that every stand-in can show. */
export const controlSchema = z.strictObject({
  /** Every request is answered 503 and has no effect. */
  outage: z.boolean(),
  /** Milliseconds that a request waits before it takes effect. */
  slowMs: z.number().nonnegative(),
  /** Answers of the next writes to lose after they took effect. */
  loseAnswers: count,
  /** The port is closed: new connections are refused and open ones are cut. */
  refuse: z.boolean(),
  /** VMs whose connections are cut, before a request takes effect. */
  cut: z.array(z.string())
}).partial()
export type Control = z.infer<typeof controlSchema>

/** Settings of both kinds of runners besides. */
export const runnerControlSchema = controlSchema.extend({
  /** Whether the runner takes no new work. */
  leaving: z.boolean().optional()
})
export type RunnerControl = z.infer<typeof runnerControlSchema>

/** Faults and settings of the engine besides. */
export const engineControlSchema = runnerControlSchema.extend({
  /** Cuts every stream and loses the unfinished runs. */
  killStreams: z.boolean().optional(),
  /** The next stream to send its second piece carries one piece of another run. */
  mixNext: z.boolean().optional(),
  /** The next run to finish reports this many tokens above its cap. */
  overreportNext: z.number().int().positive().optional(),
  /** The next stream to end sends its last event twice. */
  doubleEnd: z.boolean().optional(),
  /** Milliseconds for one token of a run that is alone. */
  msPerToken: z.number().positive().optional(),
  /** While true, all cache events are lost. */
  dropCacheEvents: z.boolean().optional()
})
export type EngineControl = z.infer<typeof engineControlSchema>

/** The common faults as they are set now. */
export interface FaultSwitches {
  outage: boolean
  slowMs: number
  loseAnswers: number
  refuse: boolean
  cut: ReadonlySet<string>
}

/** A stand-in that behaves. */
export function noFaults (): FaultSwitches {
  return { outage: false, slowMs: 0, loseAnswers: 0, refuse: false, cut: new Set() }
}
