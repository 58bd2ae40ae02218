/**
 * Polls for conditions. Timeouts are generous: they only end a scenario that hangs and check no
 * latency.
 */
import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 20

/**
 * Polls until a condition holds; throws after the timeout.
 * @param description - what is awaited, for the error message
 */
export async function waitFor (what: string, limitMs: number, holds: () => boolean | Promise<boolean>): Promise<void> {
  const end = Date.now() + limitMs
  while (!await holds()) {
    if (Date.now() > end) throw new Error(`timed out after ${limitMs} ms waiting for ${what}`)
    await sleep(POLL_MS)
  }
}
