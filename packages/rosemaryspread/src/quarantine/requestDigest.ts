/**
 * Identifies repeated requests by path, team and body, as ids and deadlines differ on each repeat; and parts of prompts, which different requests share.
 */
import { createHash, hash } from 'node:crypto'
import type { OpaqueCall } from '../gateway/callTypes.js'

/** Length of the digest in bytes; two of a day's 300 million requests collide with a probability below 1 in 10^21. */
const DIGEST_BYTES = 16
/** Begins the digest of a part; a dot does not occur in base64url, so no request has such a digest. */
const PART_PREFIX = 'part.'

/**
 * Digest of a request.
 * @param team - team of its caller; absent where no key is needed
 */
export function requestDigest ({ path, body }: Pick<OpaqueCall, 'path' | 'body'>, team: string | undefined): string {
  // The lengths delimit the fields, so that different fields never hash the same text.
  const head = `${path.length} ${path} ${team?.length ?? -1} ${team ?? ''} `
  return createHash('sha256').update(head).update(body).digest().subarray(0, DIGEST_BYTES).toString('base64url')
}

/**
 * Digest of a part of a prompt.
 * @param part - its id
 */
export function partDigest (service: string, part: string): string {
  return `${PART_PREFIX}${hash('sha256', JSON.stringify([service, part]), 'buffer').subarray(0, DIGEST_BYTES).toString('base64url')}`
}

/** Whether a digest is that of a part. */
export function isPartDigest (digest: string): boolean {
  return digest.startsWith(PART_PREFIX)
}
