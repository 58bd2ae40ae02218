/**
 * Where the engine fetches weights for load orders: the weight store, or a local rate limit if none is configured.
 */
import { got } from 'got'
import { TokenBucket } from '../weights/tokenBucket.js'

const TIMEOUT_MS = 5000

/** Answer of the weight store; status 200 if the weights were fetched. */
export interface WeightAnswer {
  readonly status: number
  readonly retryAfterSeconds: number
}

export interface WeightSource {
  fetchWeights (model: string, version: string): Promise<WeightAnswer>
}

/** A rate limit inside the engine, without a weight store. */
export class LocalWeightSource implements WeightSource {
  private readonly bucket: TokenBucket

  /**
   * @param perMinute - loads per minute
   * @param burst - loads at once after an idle time
   */
  constructor (perMinute: number, burst: number) {
    this.bucket = new TokenBucket(perMinute, burst)
  }

  async fetchWeights (): Promise<WeightAnswer> {
    const waitMs = this.bucket.tryAcquire(performance.now())
    return { status: waitMs > 0 ? 429 : 200, retryAfterSeconds: Math.ceil(waitMs / 1000) }
  }
}

export class HttpWeightSource implements WeightSource {
  /** @param name - engine name, sent as `x-vm` so that a test can cut its connections */
  constructor (private readonly baseUrl: string, private readonly name: string) {}

  async fetchWeights (model: string, version: string): Promise<WeightAnswer> {
    const url = `${this.baseUrl}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    try {
      const res = await got(url, { throwHttpErrors: false, retry: { limit: 0 }, timeout: { request: TIMEOUT_MS }, headers: { 'x-vm': this.name } })
      return { status: res.statusCode, retryAfterSeconds: Number(res.headers['retry-after'] ?? 1) }
    } catch {
      return { status: 503, retryAfterSeconds: 1 }
    }
  }
}
