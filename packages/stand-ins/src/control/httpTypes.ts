/**
 * Requests, answers and routes of the stand-ins' two ports.
 */
import type { ServerResponse } from 'node:http'
import type { ZodType } from 'zod'

/** An answer that is thrown to end a request early. */
export class HttpFault extends Error {
  /**
   * @param status - HTTP status
   * @param detail - what was wrong, for people
   */
  constructor (readonly status: number, detail: string) {
    super(detail)
  }
}

/** A request with its body read whole. */
export class HttpRequest {
  /**
   * @param method - HTTP method
   * @param url - path and query
   * @param headers - headers by lower-case name
   * @param body - bytes of the body
   * @param params - groups matched in the path
   */
  constructor (
    readonly method: string,
    readonly url: URL,
    readonly headers: Readonly<Record<string, string | string[] | undefined>>,
    readonly body: Buffer,
    readonly params: readonly string[] = []
  ) {}

  /**
   * A header, or an empty string.
   * @param name - lower-case name
   */
  header (name: string): string {
    const value = this.headers[name]
    return Array.isArray(value) ? value.join(', ') : value ?? ''
  }

  /**
   * A whole number of the query, or the given one.
   * @param name - name in the query
   * @param otherwise - value when it is absent
   */
  count (name: string, otherwise: number): number {
    const text = this.url.searchParams.get(name)
    if (text === null) return otherwise
    if (!/^\d+$/.test(text)) throw new HttpFault(400, `${name} is not a whole number`)
    return Number(text)
  }

  /**
   * The body as JSON of the given shape; anything else is a 400.
   * @param schema - shape of the body
   */
  json<T> (schema: ZodType<T>): T {
    const checked = schema.safeParse(this.parsed())
    if (!checked.success) throw new HttpFault(400, checked.error.message)
    return checked.data
  }

  private parsed (): unknown {
    try {
      return JSON.parse(this.body.toString('utf8'))
    } catch {
      throw new HttpFault(400, 'the body is not JSON')
    }
  }
}

/** A whole answer; a value other than bytes or text is sent as JSON. */
export interface BodyAnswer {
  readonly status: number
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Whether the request had an effect whose answer can be lost. */
  readonly effect?: boolean
}

/** An answer that goes on for a while. */
export interface StreamAnswer {
  /** Writes head and events; ends the response by itself. */
  readonly open: (res: ServerResponse) => void
  readonly effect?: boolean
}

export type HttpAnswer = BodyAnswer | StreamAnswer

/** One call that a port serves; the pattern matches the whole path, decoded. */
export interface HttpRoute {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly pattern: RegExp
  readonly serve: (req: HttpRequest) => HttpAnswer | Promise<HttpAnswer>
}
