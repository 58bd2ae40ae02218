/**
 * Messages between two VMs of which one sends requests to targets for the other: the request and the head of its answer with the first bytes, then
 * further bytes for each read. The VM that reads sets the pace, and a read that does not come ends the request at the target.
 */
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { executionStatusSchema, resultCodes, type ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'

/** Method names on the links between VMs. */
export const relayMethods = {
  /** Sends a request; returns {@link RelayedHead}. */
  send: 'relay.send',
  /** Reads further bytes of an answer; returns {@link RelayedBytes}. */
  read: 'relay.read',
  /** Ends a request early. */
  cancel: 'relay.cancel',
  /** Checks whether a target has terminated. */
  probe: 'relay.probe'
} as const

const headersSchema = z.array(z.tuple([z.string(), z.string()]))
const bytesSchema = z.instanceof(Uint8Array).transform(bytes => Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength))

/** Id of a relayed request, unique among those of the VM that asks. */
export const exchangeSchema = z.object({ exchange: z.string() })

export const relayedRequestSchema = exchangeSchema.extend({
  service: z.string(),
  target: z.object({ id: z.string(), address: z.string() }),
  requestId: z.string(),
  method: z.string(),
  path: z.string(),
  headers: headersSchema,
  body: bytesSchema,
  timeoutMs: z.number(),
  team: z.string().optional(),
  priority: z.number(),
  resumeAfter: z.string().optional(),
  isRepeatable: z.boolean()
})
export type RelayedRequest = z.infer<typeof relayedRequestSchema>

export const probedTargetSchema = z.object({ service: z.string(), address: z.string(), timeoutMs: z.number() })

const failureSchema = z.object({
  code: z.string().refine(name => Object.hasOwn(resultCodes, name)).transform(name => name as ResultName),
  ran: executionStatusSchema,
  detail: z.string()
}).transform(({ code, ran, detail }) => new Failure(code, detail, { ran }))

/** Bytes of an answer; the last ones have `isEnd`, and a failure if the answer broke off. */
export const relayedBytesSchema = z.object({ bytes: bytesSchema, isEnd: z.boolean(), failure: failureSchema.optional() })
export type RelayedBytes = z.infer<typeof relayedBytesSchema>

const reportSchema = z.object({ isLeaving: z.boolean(), pauseMs: z.number().optional(), flaw: z.string().optional(), refusalLimit: z.number().optional() })

/** The head of an answer with its first bytes, or why there is none; and what the target reported. */
export const relayedHeadSchema = z.object({
  report: reportSchema.transform((report): TargetReport => report as TargetReport).optional(),
  failure: failureSchema.optional(),
  head: z.object({ status: z.number(), headers: headersSchema }).optional(),
  first: relayedBytesSchema.optional()
})
export type RelayedHead = z.infer<typeof relayedHeadSchema>

/** A failure as sent to another VM. */
export function encodeFailure ({ code, ran, message }: Failure): z.input<typeof failureSchema> {
  return { code, ran, detail: message }
}
