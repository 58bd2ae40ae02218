/**
 * HTTP client of application runners. Request and response bodies are passed on whole; calls are
 * never retried or redirected. A truncated or oversized response counts as lost.
 */
import { Left, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpTransport, isUnavailableStatus, retryAfterMs, type HttpAnswer } from '@rosemaryspread/infra/http/httpTransport.js'
import type { ApplicationAnswer, ApplicationCall, ApplicationClient } from './applicationTypes.js'

const DEFAULT_CONTENT_TYPE = 'application/octet-stream'

export interface ApplicationClientSettings {
  /** Name of this VM, sent as `x-vm`. */
  readonly vm: string
  /** Connect timeout. */
  readonly connectMs: number
  /** Maximum size of a response body. */
  readonly maxBytes: number
}

/** Addresses are `IPv4:port`. Failures: `badRequest`, `runnerUnreachable`. */
export class HttpApplicationClient implements ApplicationClient {
  private readonly transport: HttpTransport

  constructor (private readonly settings: ApplicationClientSettings) {
    this.transport = new HttpTransport(settings)
  }

  async call (address: string, call: ApplicationCall): Promise<Either<Failure, ApplicationAnswer>> {
    if (!call.path.startsWith('/')) return Left(new Failure('badRequest', 'the path must start with a slash', { ran: 'no' }))
    const answer = await this.transport.call({
      method: call.method,
      url: `http://${address}${call.path}`,
      headers: { 'content-type': call.contentType, 'x-request-id': call.requestId },
      ...(call.method === 'GET' && call.body.length === 0 ? {} : { body: call.body }),
      timeoutMs: call.timeoutMs,
      maxBytes: this.settings.maxBytes,
      decompress: true
    })
    return answer.bimap(
      error => new Failure('runnerUnreachable', error.detail, { ran: error.connected ? 'unknown' : 'no' }),
      toApplicationAnswer
    )
  }

  /** Closes all connections; calls in progress fail. */
  close (): void {
    this.transport.close()
  }
}

function toApplicationAnswer ({ status, headers, body }: HttpAnswer): ApplicationAnswer {
  const pauseMs = isUnavailableStatus(status) ? retryAfterMs(headers) : undefined
  return { status, contentType: String(headers['content-type'] ?? DEFAULT_CONTENT_TYPE), body, ...(pauseMs === undefined ? {} : { pauseMs }) }
}
