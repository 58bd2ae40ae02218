/**
 * Reads the log lines of a VM: the events that scenarios wait for, and what they say to the history.
 */
import * as z from 'zod'
import type { HistoryRecord } from '../../history/historyTypes.js'

const lineSchema = z.object({
  event: z.string(),
  vm: z.string(),
  holder: z.string(),
  time: z.string()
}).catchall(z.unknown())

/** One log line. */
export type LogLine = z.infer<typeof lineSchema>

/**
 * Parses a log line.
 * @param text - one line of standard output
 * @returns nothing when it is no log line
 */
export function parseLogLine (text: string): LogLine | undefined {
  try {
    return lineSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}

/**
 * What a log line says to the history.
 * @param line - the line
 */
export function historyOfLine (line: LogLine): HistoryRecord | undefined {
  const { event, vm, holder } = line
  const at = Date.parse(line.time)
  if (event === 'configApplied') return { kind: 'configInForce', at, vm, holder, version: Number(line['version']) }
  if (event === 'draining') return { kind: 'vmStopping', at, vm, holder }
  if (event === 'stopped') return { kind: 'vmStopped', at, vm, holder, interrupted: Number(line['interrupted'] ?? 0) }
  return undefined
}
