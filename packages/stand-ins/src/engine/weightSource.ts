/**
 * Where the engine takes weights from when it is ordered to load: the weight store, or a limit of
 * its own when it was given none.
 */
import { got } from 'got'
import { TokenBucket } from '../weights/tokenBucket.js'

const TIMEOUT_MS = 5000

/** Answer of the weight store; 200 when the weights were had. */
export interface WeightAnswer {
  readonly status: number
  readonly retryAfterSeconds: number
}

/** Takes weights. */
export interface WeightSource {
  take (model: string, version: string): Promise<WeightAnswer>
}

/** A limit inside the engine. */
export class LocalWeightSource implements WeightSource {
  private readonly bucket: TokenBucket

  /**
   * @param perMinute - loads a minute
   * @param burst - loads at once after a rest
   */
  constructor (perMinute: number, burst: number) {
    this.bucket = new TokenBucket(perMinute, burst)
  }

  async take (): Promise<WeightAnswer> {
    const waitMs = this.bucket.take(performance.now())
    return { status: waitMs > 0 ? 429 : 200, retryAfterSeconds: Math.ceil(waitMs / 1000) }
  }
}

/** The weight store. */
export class HttpWeightSource implements WeightSource {
  /**
   * @param baseUrl - where the weight store listens
   * @param name - name of the engine, sent as `x-vm` so that a test can cut it off
   */
  constructor (private readonly baseUrl: string, private readonly name: string) {}

  async take (model: string, version: string): Promise<WeightAnswer> {
    const url = `${this.baseUrl}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    try {
      const res = await got(url, { throwHttpErrors: false, retry: { limit: 0 }, timeout: { request: TIMEOUT_MS }, headers: { 'x-vm': this.name } })
      return { status: res.statusCode, retryAfterSeconds: Number(res.headers['retry-after'] ?? 1) }
    } catch {
      return { status: 503, retryAfterSeconds: 1 }
    }
  }
}
