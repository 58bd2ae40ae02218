/**
 * Parses the log lines of a VM into events, which scenarios wait for, and history records.
 */
import * as z from 'zod'
import type { HistoryRecord } from '../../history/historyTypes.js'

const lineSchema = z.object({
  event: z.string(),
  vm: z.string(),
  holder: z.string(),
  time: z.string()
}).catchall(z.unknown())

export type LogLine = z.infer<typeof lineSchema>

/** Parses a line of standard output; `undefined` when it is not a log line. */
export function parseLogLine (text: string): LogLine | undefined {
  try {
    return lineSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}

/** The history record of a log line, if its event is part of the history. */
export function toHistoryRecord (line: LogLine): HistoryRecord | undefined {
  const { event, vm, holder } = line
  const at = Date.parse(line.time)
  if (event === 'configApplied') return { kind: 'configInForce', at, vm, holder, version: Number(line['version']) }
  if (event === 'draining') return { kind: 'vmStopping', at, vm, holder }
  if (event === 'stopped') return { kind: 'vmStopped', at, vm, holder, interrupted: Number(line['interrupted'] ?? 0) }
  return undefined
}
