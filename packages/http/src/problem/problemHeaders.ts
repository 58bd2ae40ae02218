/**
 * Renders a failure as an RFC 9457 problem body with its headers.
 */
import { toProblem, type Failure } from '@rosemaryspread/decisions/codes/failure.js'

export const problemContentType = 'application/problem+json'

const msPerSecond = 1000

/** Value of `Retry-After`: whole seconds, rounded up and at least 1. */
export function retryAfterSeconds (retryAfterMs: number): number {
  return Math.max(1, Math.ceil(retryAfterMs / msPerSecond))
}

export function problemHeaders (failure: Failure): Record<string, string> {
  const headers: Record<string, string> = { 'Content-Type': problemContentType, 'Cache-Control': 'no-store' }
  if (failure.retryAfterMs !== undefined) headers['Retry-After'] = String(retryAfterSeconds(failure.retryAfterMs))
  if (failure.code === 'unauthorized') headers['WWW-Authenticate'] = 'Bearer'
  return headers
}

/** Serializes the problem body. */
export function problemText (failure: Failure): string {
  return JSON.stringify(toProblem(failure))
}
