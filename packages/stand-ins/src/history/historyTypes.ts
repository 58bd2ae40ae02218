/**
 * One record format for everything a run of the system leaves behind: who asked, what ran where,
 * what was billed and answered. Stand-ins, test callers and log readers write it as JSON lines;
 * the checker judges any list of such records.
 */
import * as z from 'zod'

const at = z.number()

/** All kinds of records; `at` is wall milliseconds on the machine of the test. */
export const historyRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('asked'), at, ask: z.string(), requestId: z.string(), team: z.string(), digest: z.string(), repeatable: z.boolean(), vm: z.string() }),
  z.object({ kind: z.literal('answered'), at, ask: z.string(), requestId: z.string(), text: z.string(), whole: z.boolean() }),
  z.object({ kind: z.literal('refused'), at, ask: z.string(), requestId: z.string(), code: z.string(), ran: z.enum(['no', 'yes', 'unknown']), retryAfterMs: z.number().optional() }),
  /** A model run or an application call began at a runner. */
  z.object({ kind: z.literal('ran'), at, requestId: z.string(), runner: z.string(), team: z.string(), budget: z.string().optional(), digest: z.string().optional(), holder: z.string().optional() }),
  /** The run ended; `text` is the whole answer, `tokens` what it cost, `reportedTokens` what a misbehaving runner claimed. */
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
  /** The caller's connection ended without an answer; `sent` is false when it was never made. */
  z.object({ kind: z.literal('lost'), at, ask: z.string(), requestId: z.string(), sent: z.boolean() }),
  /** The test reached a VM that is ready, or let it run or reach its peers and the platform again. */
  z.object({ kind: z.literal('vmUp'), at, vm: z.string() }),
  /** The test took a VM away: from here until `vmUp` it need not know new configuration versions. */
  z.object({ kind: z.literal('vmDown'), at, vm: z.string(), cause: z.enum(['killed', 'frozen', 'cut', 'stopped']) }),
  z.object({ kind: z.literal('tableDown'), at }),
  z.object({ kind: z.literal('tableUp'), at }),
  /** The system came to rest: from here on every bill that is owed must be durable. */
  z.object({ kind: z.literal('settled'), at })
])
export type HistoryRecord = z.infer<typeof historyRecordSchema>

/** Records of one kind. */
export type RecordOf<Kind extends HistoryRecord['kind']> = Extract<HistoryRecord, { kind: Kind }>
