/**
 * Request ids. A request with an Idempotency-Key has the same id at every VM, so that a repeat
 * finds the first run.
 */
import { createHash } from 'node:crypto'

/**
 * Request id of a keyed request. Keys are scoped to a team.
 * @param key - value of the caller's Idempotency-Key
 */
export function keyedRequestId (team: string, key: string): string {
  return createHash('sha256').update(team).update('\n').update(key).digest('hex').slice(0, 32)
}

/**
 * Hex SHA-256 of a body, by which a key that is reused with another body is detected.
 * @param body - bytes as received
 */
export function bodyDigest (body: Buffer | string): string {
  return createHash('sha256').update(body).digest('hex')
}
