/**
 * How a failure looks on the wire: an RFC 9457 problem body, and the headers that go with it.
 */
import { toProblem, type Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Content type of a problem body. */
export const problemType = 'application/problem+json'

const msPerSecond = 1000

/**
 * `Retry-After` in whole seconds, rounded up and at least 1.
 * @param retryAfterMs - milliseconds after which the caller should come back
 */
export function retryAfterSeconds (retryAfterMs: number): number {
  return Math.max(1, Math.ceil(retryAfterMs / msPerSecond))
}

/**
 * Headers of the answer to a refused request.
 * @param failure - why it is refused
 */
export function problemHeaders (failure: Failure): Record<string, string> {
  const headers: Record<string, string> = { 'Content-Type': problemType, 'Cache-Control': 'no-store' }
  if (failure.retryAfterMs !== undefined) headers['Retry-After'] = String(retryAfterSeconds(failure.retryAfterMs))
  if (failure.code === 'unauthorized') headers['WWW-Authenticate'] = 'Bearer'
  return headers
}

/**
 * The problem body as text.
 * @param failure - why the request is refused
 */
export function problemText (failure: Failure): string {
  return JSON.stringify(toProblem(failure))
}
