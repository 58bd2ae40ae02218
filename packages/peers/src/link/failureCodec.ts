/**
 * Converts failures to JSON-RPC errors and back, so that a caller receives the same numbered failure that the called VM raised.
 */
import { createJSONRPCErrorResponse, JSONRPCErrorCode, type JSONRPCError, type JSONRPCErrorResponse, type JSONRPCID } from 'json-rpc-2.0'
import * as z from 'zod'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { executionStatusSchema, resultCodes, type ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'

/** Error code that json-rpc-2.0 uses for calls that it fails locally. */
export const LOCAL_ERROR_CODE = 0

const failureDataSchema = z.object({
  name: z.string().refine(name => Object.hasOwn(resultCodes, name)).transform(name => name as ResultName),
  ran: executionStatusSchema,
  retryAfterMs: z.number().optional(),
  errors: z.array(z.string()).optional()
})

/** Converts any value thrown by a method handler to an error response. */
export function toErrorResponse (id: JSONRPCID, err: unknown): JSONRPCErrorResponse {
  const failure = toFailure(err)
  const data = {
    name: failure.code,
    ran: failure.ran,
    ...(failure.retryAfterMs === undefined ? {} : { retryAfterMs: failure.retryAfterMs }),
    ...(failure.errors.length === 0 ? {} : { errors: failure.errors })
  }
  return createJSONRPCErrorResponse(id, failure.entry.number, failure.message, data)
}

/** Restores the failure; an error without valid failure data becomes `peerUnreachable` or `peerRefused`. */
export function fromErrorResponse (error: JSONRPCError): Failure {
  const data = failureDataSchema.safeParse(error.data)
  if (data.success) {
    const { name, ran, retryAfterMs, errors = [] } = data.data
    return new Failure(name, error.message, { ran, errors, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }
  if (error.code === LOCAL_ERROR_CODE) return new Failure('peerUnreachable', error.message, { ran: 'unknown' })
  if (error.code === JSONRPCErrorCode.MethodNotFound) return new Failure('peerRefused', error.message, { ran: 'no' })
  return new Failure('peerRefused', error.message, { ran: 'unknown' })
}
