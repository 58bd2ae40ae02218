/**
 * HTTP calls to the platform and the runners over keep-alive connections, with timeout and size
 * limit, without retries or redirects. A failed call reports whether a connection was made: only
 * without one is it certain that the server did nothing.
 */
import { Agent } from 'node:http'
import { Either, Left, Right } from 'purify-ts'
import got, { RequestError, type OptionsInit, type Request } from 'got'
import type { z } from 'zod'

/** Default size limit of a response body. */
export const DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024

const DEFAULT_CONNECT_TIMEOUT_MS = 1000
const MAX_IDLE_CONNECTIONS = 64
const MS_PER_SECOND = 1000
const SECONDS_PATTERN = /^\d+(\.\d+)?$/

export interface TransportSettings {
  /** Name of this VM, sent as `x-vm` if given. */
  readonly vm?: string
  /** Connect timeout. */
  readonly connectMs?: number
}

export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly url: string
  readonly headers?: Readonly<Record<string, string | undefined>>
  readonly body?: Buffer | string
  /** Timeout of the whole call; of the response headers only for {@link HttpTransport.stream}. */
  readonly timeoutMs: number
  /** Size limit of the response body. */
  readonly maxBytes?: number
  /** Accepts a compressed response and returns it decompressed. */
  readonly decompress?: boolean
}

/** A complete response of any status. */
export interface HttpAnswer {
  readonly status: number
  readonly headers: NodeJS.Dict<string | string[]>
  readonly body: Buffer
}

/** Why a call got no complete response. */
export interface TransportError {
  /** False if no connection was made, so that the server cannot have received anything. */
  readonly connected: boolean
  readonly detail: string
}

/** Converts an error thrown by got. */
export function toTransportError (err: unknown): TransportError {
  if (!(err instanceof RequestError)) return { connected: true, detail: String(err) }
  return { connected: err.timings?.connect !== undefined, detail: `${err.code}: ${err.message}` }
}

/** Milliseconds of a `Retry-After` header in seconds; undefined if absent or not a number. */
export function retryAfterMs (headers: HttpAnswer['headers']): number | undefined {
  const text = headers['retry-after']
  return typeof text === 'string' && SECONDS_PATTERN.test(text) ? Number(text) * MS_PER_SECOND : undefined
}

/** Whether a status means that the server is overloaded or unavailable. */
export function isUnavailableStatus (status: number | undefined): boolean {
  return status === 429 || status === 503
}

/** Parses and validates JSON; the error names the first schema violation. */
export function parseJson<T> (schema: z.ZodType<T>, text: Buffer | string): Either<string, T> {
  let value: unknown
  try {
    value = JSON.parse(text.toString())
  } catch {
    return Left('the response is not valid JSON')
  }
  const parsed = schema.safeParse(value)
  return parsed.success ? Right(parsed.data) : Left(`invalid response: ${parsed.error.issues[0]?.message ?? ''}`)
}

/** HTTP calls over one connection pool. */
export class HttpTransport {
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS })

  constructor (private readonly settings: TransportSettings) {}

  /** Makes one call and reads the whole response. */
  async call (call: HttpCall): Promise<Either<TransportError, HttpAnswer>> {
    const maxBytes = call.maxBytes ?? DEFAULT_MAX_RESPONSE_BYTES
    const sizeAbort = new AbortController()
    try {
      const pending = got(call.url, {
        ...this.gotOptions(call),
        timeout: { connect: this.connectMs, request: call.timeoutMs },
        responseType: 'buffer',
        signal: sizeAbort.signal
      })
      pending.on('downloadProgress', progress => {
        if (progress.transferred > maxBytes) sizeAbort.abort()
      })
      // A switch of protocols closes the connection without a response or an error, and got does not time it out.
      pending.on('request', req => {
        req.once('upgrade', (_res, socket) => {
          socket.destroy()
          pending.cancel()
        })
      })
      const res = await pending
      return Right({ status: res.statusCode, headers: res.headers, body: res.body as Buffer })
    } catch (err) {
      if (sizeAbort.signal.aborted) return Left({ connected: true, detail: `the response exceeds ${maxBytes} bytes` })
      return Left(toTransportError(err))
    }
  }

  /** Starts one call whose response is read as a stream; `timeoutMs` limits the wait for the headers only. */
  stream (call: HttpCall): Request {
    return got.stream(call.url, {
      ...this.gotOptions(call),
      timeout: { connect: this.connectMs, response: call.timeoutMs }
    })
  }

  /** Closes all connections; calls in progress fail. */
  close (): void {
    this.agent.destroy()
  }

  private get connectMs (): number {
    return this.settings.connectMs ?? DEFAULT_CONNECT_TIMEOUT_MS
  }

  private gotOptions (call: HttpCall) {
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
