/**
 * Waits on conditions. Limits are generous: they end a scenario that hangs and judge nothing else.
 */
import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 20

/**
 * Waits until a condition holds.
 * @param what - what is waited for, for people
 * @param limitMs - milliseconds after which an error is thrown
 * @param holds - the condition
 */
export async function waitFor (what: string, limitMs: number, holds: () => boolean | Promise<boolean>): Promise<void> {
  const end = Date.now() + limitMs
  while (!await holds()) {
    if (Date.now() > end) throw new Error(`gave up after ${limitMs} ms waiting for ${what}`)
    await sleep(POLL_MS)
  }
}
