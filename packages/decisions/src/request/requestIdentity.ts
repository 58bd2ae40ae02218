/**
 * Request ids. A request with an Idempotency-Key has the same id at every VM, so that repeats
 * find the first run; one without a key is new each time.
 */
import { createHash } from 'node:crypto'

/**
 * Request id of a keyed request.
 * @param team - the team that asks
 * @param key - the caller's Idempotency-Key
 */
export function keyedRequestId (team: string, key: string): string {
  return createHash('sha256').update(team).update('\n').update(key).digest('hex').slice(0, 32)
}

/**
 * Hex SHA-256 of a body; two bodies under one key are told apart by it.
 * @param body - bytes as received
 */
export function bodyDigest (body: Buffer | string): string {
  return createHash('sha256').update(body).digest('hex')
}
