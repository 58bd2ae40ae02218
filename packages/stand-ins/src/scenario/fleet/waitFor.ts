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
export async function waitFor (description: string, timeoutMs: number, isMet: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = Date.now() + timeoutMs
  while (!await isMet()) {
    if (Date.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}`)
    await sleep(POLL_MS)
  }
}
