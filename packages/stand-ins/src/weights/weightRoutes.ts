/**
 * The weight store over HTTP: what it knows of a set of weights, at a limited rate.
 */
import { createHash } from 'node:crypto'
import { HistoryLog } from '../control/historyLog.js'
import type { HttpAnswer, HttpRequest } from '../control/httpTypes.js'
import type { StandInParts } from '../control/standIn.js'
import { TokenBucket } from './tokenBucket.js'

const GIGABYTE = 1_000_000_000
const MOST_GIGABYTES = 16

/** Options of the weight store. */
export interface WeightOptions {
  readonly perMinute: number
  readonly burst: number
  /** Names `model@version` that exist; every name does when there are none. */
  readonly sets: readonly string[]
}

/**
 * A weight store.
 * @param options - rate and contents
 */
export function weightParts (options: WeightOptions): StandInParts {
  const bucket = new TokenBucket(options.perMinute, options.burst)
  const taken: Record<string, number> = {}
  const serve = ({ params: [model = '', version = ''] }: HttpRequest): HttpAnswer => {
    const name = `${model}@${version}`
    if (options.sets.length > 0 && !options.sets.includes(name)) return { status: 404, body: { error: `no weights ${name}` } }
    const waitMs = bucket.take(performance.now())
    if (waitMs > 0) return { status: 429, headers: { 'retry-after': String(Math.ceil(waitMs / 1000)) }, body: { error: 'over the rate' } }
    taken[name] = (taken[name] ?? 0) + 1
    return { status: 200, body: { model, version, bytes: bytesOf(name) } }
  }
  return {
    routes: [{ method: 'GET', pattern: /^\/weights\/([^/]+)\/([^/]+)$/, serve }],
    history: new HistoryLog(),
    state: () => ({ taken })
  }
}

/** A size that is always the same for the same name. */
function bytesOf (name: string): number {
  return (1 + createHash('sha256').update(name).digest()[0]! % MOST_GIGABYTES) * GIGABYTE
}
