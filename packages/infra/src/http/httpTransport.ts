/**
 * HTTP calls to the platform and the runners: got over keep-alive connections, bounded in time
 * and size, without any retry or redirect. A call that brings no answer says whether the
 * connection was ever made, since only then may "nothing was done" be concluded.
 */
import { Agent } from 'node:http'
import { Either, Left, Right } from 'purify-ts'
import got, { RequestError, type OptionsInit, type Request } from 'got'
import type { z } from 'zod'

/** Largest answer that is taken unless a call says otherwise, in bytes. */
export const DEFAULT_MAX_BYTES = 16 * 1024 * 1024

const DEFAULT_CONNECT_MS = 1000
const MAX_IDLE_CONNECTIONS = 64
const MS_PER_SECOND = 1000
/** Seconds with or without a fraction. */
const SECONDS = /^\d+(\.\d+)?$/

/** Settings of a transport. */
export interface TransportSettings {
  /** Name of this VM, sent as `x-vm` where the other side takes it. */
  readonly vm?: string
  /** Milliseconds for making a connection. */
  readonly connectMs?: number
}

/** One call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly url: string
  readonly headers?: Readonly<Record<string, string | undefined>>
  readonly body?: Buffer | string
  /** Milliseconds until the whole call is given up. */
  readonly timeoutMs: number
  readonly maxBytes?: number
  /** Whether the answer may come compressed; it is given back plain. */
  readonly decompress?: boolean
}

/** A whole answer, whatever its status. */
export interface HttpAnswer {
  readonly status: number
  readonly headers: NodeJS.Dict<string | string[]>
  readonly body: Buffer
}

/** A call without a whole answer. */
export interface LostCall {
  /** False when no connection was made, so that nothing can have been received. */
  readonly connected: boolean
  readonly detail: string
}

/**
 * Describes an error of got as a lost call.
 * @param err - what got threw
 */
export function toLostCall (err: unknown): LostCall {
  if (!(err instanceof RequestError)) return { connected: true, detail: String(err) }
  return { connected: err.timings?.connect !== undefined, detail: `${err.code}: ${err.message}` }
}

/**
 * Milliseconds of a `Retry-After` header given in seconds; undefined when absent or not a number.
 * @param headers - headers of an answer
 */
export function retryAfterMs (headers: HttpAnswer['headers']): number | undefined {
  const text = headers['retry-after']
  return typeof text === 'string' && SECONDS.test(text) ? Number(text) * MS_PER_SECOND : undefined
}

/**
 * Whether a server turned a request away: it had too many, or is not available.
 * @param status - status of its answer
 */
export function isTurnedAway (status: number | undefined): boolean {
  return status === 429 || status === 503
}

/**
 * Reads a JSON text by a schema; the error says what does not fit.
 * @param schema - what the text has to be
 * @param text - the text or its bytes
 */
export function parseJson<T> (schema: z.ZodType<T>, text: Buffer | string): Either<string, T> {
  let value: unknown
  try {
    value = JSON.parse(text.toString())
  } catch {
    return Left('the answer is no JSON')
  }
  const parsed = schema.safeParse(value)
  return parsed.success ? Right(parsed.data) : Left(`the answer does not fit: ${parsed.error.issues[0]?.message ?? ''}`)
}

/** Calls over the connections of one client. */
export class HttpTransport {
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS })

  constructor (private readonly settings: TransportSettings) {}

  /**
   * Makes one call and takes the whole answer.
   * @param call - what to send and the limits
   */
  async call (call: HttpCall): Promise<Either<LostCall, HttpAnswer>> {
    const maxBytes = call.maxBytes ?? DEFAULT_MAX_BYTES
    const tooLarge = new AbortController()
    try {
      const pending = got(call.url, {
        ...this.options(call),
        timeout: { connect: this.connectMs, request: call.timeoutMs },
        responseType: 'buffer',
        signal: tooLarge.signal
      })
      pending.on('downloadProgress', progress => {
        if (progress.transferred > maxBytes) tooLarge.abort()
      })
      const res = await pending
      return Right({ status: res.statusCode, headers: res.headers, body: res.body as Buffer })
    } catch (err) {
      if (tooLarge.signal.aborted) return Left({ connected: true, detail: `the answer exceeds ${maxBytes} bytes` })
      return Left(toLostCall(err))
    }
  }

  /**
   * Starts one call whose answer is read as a stream. `timeoutMs` bounds the wait for the headers only.
   * @param call - what to send
   */
  stream (call: HttpCall): Request {
    return got.stream(call.url, {
      ...this.options(call),
      timeout: { connect: this.connectMs, response: call.timeoutMs }
    })
  }

  /** Closes all connections; calls in progress fail. */
  close (): void {
    this.agent.destroy()
  }

  private get connectMs (): number {
    return this.settings.connectMs ?? DEFAULT_CONNECT_MS
  }

  private options (call: HttpCall) {
    return {
      method: call.method,
      headers: { 'user-agent': undefined, ...call.headers, ...(this.settings.vm === undefined ? {} : { 'x-vm': this.settings.vm }) },
      ...(call.body === undefined ? {} : { body: call.body, allowGetBody: true }),
      agent: { http: this.agent },
      retry: { limit: 0 },
      followRedirect: false,
      throwHttpErrors: false,
      decompress: call.decompress ?? false
    } satisfies OptionsInit
  }
}
