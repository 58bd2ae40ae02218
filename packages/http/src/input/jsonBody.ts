/**
 * Parses and validates a JSON request body; checks content type, content encoding, UTF-8 and JSON syntax strictly.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Left, Right } from 'purify-ts'
import type { z } from 'zod'
import { validate, type Validated } from './inputChecks.js'

const jsonType = 'application/json'

function checkHeaders (headers: IncomingHttpHeaders): string[] {
  const headerErrors: string[] = []
  const [type, ...params] = (headers['content-type'] ?? '').toLowerCase().split(';').map((part) => part.trim())
  if (type !== jsonType) headerErrors.push(`header Content-Type: use ${jsonType}`)
  const charset = params.find((param) => param.startsWith('charset='))?.replace(/["']/g, '')
  if (charset !== undefined && charset !== 'charset=utf-8') headerErrors.push('header Content-Type: use charset utf-8')
  const encoding = headers['content-encoding'] ?? 'identity'
  if (encoding !== 'identity') headerErrors.push('header Content-Encoding: send the body without encoding')
  return headerErrors
}

function decodeJson (bytes: Buffer): Validated<unknown> {
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(bytes)
    return Right(JSON.parse(text))
  } catch (err) {
    const reason = err instanceof SyntaxError ? err.message : 'the bytes are not UTF-8'
    return Left([`body: not JSON: ${reason}`])
  }
}

/** Parses a JSON body and validates it against a schema. */
export function parseJsonBody<S extends z.ZodType> (schema: S, headers: IncomingHttpHeaders, bytes: Buffer): Validated<z.output<S>> {
  const headerErrors = checkHeaders(headers)
  if (headerErrors.length > 0) return Left(headerErrors)
  return decodeJson(bytes).chain((value) => validate(schema, value, 'body'))
}
