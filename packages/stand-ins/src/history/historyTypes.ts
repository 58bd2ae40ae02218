/**
 * Record format of histories: requests, runs, bills and answers of one execution of the system.
 * Stand-ins, test callers and log readers write the records as JSON lines; the checker accepts
 * any list of them.
 */
import * as z from 'zod'

const at = z.number()

/** All kinds of records; `at` is wall-clock milliseconds of the machine that runs the test. */
export const historyRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('asked'), at, ask: z.string(), requestId: z.string(), team: z.string(), digest: z.string(), repeatable: z.boolean(), vm: z.string() }),
  z.object({ kind: z.literal('answered'), at, ask: z.string(), requestId: z.string(), text: z.string(), whole: z.boolean() }),
  z.object({ kind: z.literal('refused'), at, ask: z.string(), requestId: z.string(), code: z.string(), ran: z.enum(['no', 'yes', 'unknown']), retryAfterMs: z.number().optional() }),
  /** A model run or an application call started at a runner. */
  z.object({ kind: z.literal('ran'), at, requestId: z.string(), runner: z.string(), team: z.string(), budget: z.string().optional(), digest: z.string().optional(), holder: z.string().optional() }),
  /** The run ended; `text` is the complete answer, `tokens` its cost, `reportedTokens` the usage that a misbehaving runner reported. */
  z.object({ kind: z.literal('ended'), at, requestId: z.string(), runner: z.string(), state: z.enum(['finished', 'cancelled']), text: z.string(), tokens: z.number(), reportedTokens: z.number().optional() }),
  z.object({ kind: z.literal('paid'), at, budget: z.string(), operationId: z.string(), tokens: z.number() }),
  z.object({ kind: z.literal('billed'), at, requestId: z.string(), budget: z.string(), tokens: z.number(), holder: z.string() }),
  z.object({ kind: z.literal('claimed'), at, requestId: z.string(), holder: z.string() }),
  z.object({ kind: z.literal('runnerLeaving'), at, runner: z.string() }),
  z.object({ kind: z.literal('configAccepted'), at, version: z.number(), patchId: z.string() }),
  z.object({ kind: z.literal('configInForce'), at, vm: z.string(), holder: z.string(), version: z.number() }),
  z.object({ kind: z.literal('vmStopping'), at, vm: z.string(), holder: z.string() }),
  z.object({ kind: z.literal('vmStopped'), at, vm: z.string(), holder: z.string(), interrupted: z.number() }),
  z.object({ kind: z.literal('leaseTaken'), at, role: z.string(), holder: z.string(), fencing: z.number() }),
  z.object({ kind: z.literal('leaseWrite'), at, role: z.string(), holder: z.string(), fencing: z.number() }),
  /** The caller's connection ended without an answer; `sent` is false when it was refused. */
  z.object({ kind: z.literal('lost'), at, ask: z.string(), requestId: z.string(), sent: z.boolean() }),
  /** The VM became ready, was resumed, or can reach its peers and the platform again. */
  z.object({ kind: z.literal('vmUp'), at, vm: z.string() }),
  /** The test made a VM unavailable: until `vmUp` it need not apply new configuration versions. */
  z.object({ kind: z.literal('vmDown'), at, vm: z.string(), cause: z.enum(['killed', 'frozen', 'cut', 'stopped']) }),
  z.object({ kind: z.literal('tableDown'), at }),
  z.object({ kind: z.literal('tableUp'), at }),
  /** The system is idle: from here on every due bill must be durable. */
  z.object({ kind: z.literal('settled'), at })
])
export type HistoryRecord = z.infer<typeof historyRecordSchema>

/** Records of one kind. */
export type RecordOf<Kind extends HistoryRecord['kind']> = Extract<HistoryRecord, { kind: Kind }>
