/**
 * Identifies a stream by its team, its service and the request that brought its first event, so that one team cannot refer to the stream of another.
 */
import { hash } from 'node:crypto'

/** Length of the key in bytes; two of a minute's million streams collide with a probability below 1 in 10^16. */
const KEY_BYTES = 12

/**
 * Key of a stream.
 * @param team - team of its caller; undefined where no key is needed
 * @param requestId - id of the request that brought its first event
 */
export function streamKey (service: string, team: string | undefined, requestId: string): string {
  return hash('sha256', JSON.stringify([service, team ?? null, requestId]), 'buffer').subarray(0, KEY_BYTES).toString('base64url')
}
