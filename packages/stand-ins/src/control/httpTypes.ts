/**
 * Requests, answers and routes of the serving and control ports.
 */
import type { ServerResponse } from 'node:http'
import type { ZodType } from 'zod'

/** Ends a request early with an error answer. */
export class HttpError extends Error {
  constructor (readonly status: number, detail: string) {
    super(detail)
  }
}

/** A request with its complete body. */
export class HttpRequest {
  /**
   * @param headers - by lower-case name
   * @param params - capture groups of the path pattern
   */
  constructor (
    readonly method: string,
    readonly url: URL,
    readonly headers: Readonly<Record<string, string | string[] | undefined>>,
    readonly body: Buffer,
    readonly params: readonly string[] = []
  ) {}

  /**
   * A header, or an empty string if absent.
   * @param name - in lower case
   */
  header (name: string): string {
    const value = this.headers[name]
    return Array.isArray(value) ? value.join(', ') : value ?? ''
  }

  /** A non-negative integer of the query string, or the default if absent. */
  count (name: string, defaultValue: number): number {
    const text = this.url.searchParams.get(name)
    if (text === null) return defaultValue
    if (!/^\d+$/.test(text)) throw new HttpError(400, `query parameter ${name} is not a non-negative integer`)
    return Number(text)
  }

  /** The JSON body checked against a schema; a mismatch is a 400. */
  json<T> (schema: ZodType<T>): T {
    const checked = schema.safeParse(this.parseBody())
    if (!checked.success) throw new HttpError(400, checked.error.message)
    return checked.data
  }

  private parseBody (): unknown {
    try {
      return JSON.parse(this.body.toString('utf8'))
    } catch {
      throw new HttpError(400, 'the body is not valid JSON')
    }
  }
}

/** A complete answer; a body other than bytes or text is sent as JSON. */
export interface BodyAnswer {
  readonly status: number
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Whether the request changed state, so that the fault of a lost answer applies. */
  readonly effect?: boolean
}

/** A streamed answer. */
export interface StreamAnswer {
  /** Writes headers and events, and ends the response. */
  readonly open: (res: ServerResponse) => void
  readonly effect?: boolean
}

export type HttpAnswer = BodyAnswer | StreamAnswer

/** One call that a port serves; the pattern is tested against the decoded path. */
export interface HttpRoute {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly pattern: RegExp
  readonly serve: (req: HttpRequest) => HttpAnswer | Promise<HttpAnswer>
}
