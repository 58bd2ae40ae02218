/**
 * HTTP API of the weight store: metadata of weights, at a limited rate.
 */
import { createHash } from 'node:crypto'
import { HistoryLog } from '../control/historyLog.js'
import type { HttpAnswer, HttpRequest } from '../control/httpTypes.js'
import type { StandInDefinition } from '../control/standIn.js'
import { TokenBucket } from './tokenBucket.js'

const GIGABYTE = 1_000_000_000
const MAX_GIGABYTES = 16

export interface WeightOptions {
  readonly perMinute: number
  readonly burst: number
  /** Existing `model@version` names; if empty, every name exists. */
  readonly sets: readonly string[]
}

export function weightStoreDefinition (options: WeightOptions): StandInDefinition {
  const bucket = new TokenBucket(options.perMinute, options.burst)
  const fetchCounts: Record<string, number> = {}
  const serve = ({ params: [model = '', version = ''] }: HttpRequest): HttpAnswer => {
    const name = `${model}@${version}`
    if (options.sets.length > 0 && !options.sets.includes(name)) return { status: 404, body: { error: `no weights ${name}` } }
    const waitMs = bucket.tryAcquire(performance.now())
    if (waitMs > 0) return { status: 429, headers: { 'retry-after': String(Math.ceil(waitMs / 1000)) }, body: { error: 'rate limit exceeded' } }
    fetchCounts[name] = (fetchCounts[name] ?? 0) + 1
    return { status: 200, body: { model, version, bytes: deriveSize(name) } }
  }
  return {
    routes: [{ method: 'GET', pattern: /^\/weights\/([^/]+)\/([^/]+)$/, serve }],
    history: new HistoryLog(),
    state: () => ({ taken: fetchCounts })
  }
}

/** A size derived from the name, so that it is always the same. */
function deriveSize (name: string): number {
  return (1 + createHash('sha256').update(name).digest()[0]! % MAX_GIGABYTES) * GIGABYTE
}
