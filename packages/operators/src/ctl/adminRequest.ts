/**
 * Sends one HTTP request to one admin server and converts problem responses to failures.
 */
import got, { RequestError, TimeoutError } from 'got'
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { executionStatusSchema, resultCodes, type ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'

export interface AdminRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: unknown
}

const okStatus = 200

/** Error codes of requests that failed before a connection was made, so that nothing was sent. */
const notConnectedCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'EADDRNOTAVAIL'
])

const problemSchema = z.object({
  name: z.string(),
  code: z.string().default(''),
  title: z.string().default(''),
  detail: z.string(),
  ran: executionStatusSchema,
  retryAfterMs: z.number().optional(),
  errors: z.array(z.string()).optional()
})

/**
 * Sends a request without retries. `peerUnreachable` with `ran: unknown` means that the response
 * to a write was lost.
 * @param server - base URL
 * @param key - bearer key
 * @param timeoutMs - timeout of the whole request
 */
export async function sendOnce (server: string, key: string, timeoutMs: number, req: AdminRequest): Promise<Either<Failure, unknown>> {
  try {
    const res = await got(`${server}${req.path}`, {
      method: req.method,
      headers: { authorization: `Bearer ${key}` },
      ...(req.body === undefined ? {} : { json: req.body }),
      timeout: { request: timeoutMs },
      retry: { limit: 0 },
      followRedirect: false,
      throwHttpErrors: false,
      responseType: 'text'
    })
    return readAnswer(server, res.statusCode, res.body)
  } catch (err) {
    return Left(toNetworkFailure(server, req, err))
  }
}

function toNetworkFailure (server: string, req: AdminRequest, err: unknown): Failure {
  const mayBeSent = !(err instanceof RequestError && (notConnectedCodes.has(err.code) || isConnectTimeout(err)))
  const ran = mayBeSent && req.method === 'POST' ? 'unknown' : 'no'
  return new Failure('peerUnreachable', `${server}: ${err instanceof Error ? err.message : String(err)}`, { ran })
}

function isConnectTimeout (err: RequestError): boolean {
  return err instanceof TimeoutError && err.event === 'connect'
}

function tryParseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function readAnswer (server: string, status: number, text: string): Either<Failure, unknown> {
  const value = tryParseJson(text)
  if (status === okStatus && value !== undefined) return Right(value)
  const problem = problemSchema.safeParse(value)
  if (!problem.success) return Left(new Failure('internal', `${server} responded with HTTP ${status} and an unexpected body`, { ran: 'unknown' }))
  return Left(toFailure(problem.data))
}

function isResultName (name: string): name is ResultName {
  return Object.hasOwn(resultCodes, name)
}

function toFailure (problem: z.output<typeof problemSchema>): Failure {
  const { name, code, title, detail, ran, retryAfterMs, errors } = problem
  const extras = {
    ran,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(errors === undefined ? {} : { errors })
  }
  if (isResultName(name)) return new Failure(name, detail, extras)
  return new Failure('internal', `${code} ${title}: ${detail}`, extras)
}
