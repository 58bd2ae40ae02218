/**
 * Types and client interface of model engines: OpenAI-style chat completions over SSE, with a
 * request id by which a run can be joined, resumed, cancelled, looked up or sealed.
 */
import * as z from 'zod'
import type { Either, Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

export const chatMessageSchema = z.object({
  role: z.enum(['system', 'user', 'assistant']),
  content: z.string().max(1_000_000)
})
export type ChatMessage = z.infer<typeof chatMessageSchema>

export interface EngineRequest {
  readonly requestId: string
  /** Digest of the caller's body; joining an existing run requires the same digest. */
  readonly digest: string
  /** Holder whose allotment pays for the run. */
  readonly holder: string
  readonly team: string
  readonly budget: string
  readonly model: string
  readonly adapter?: string
  readonly messages: readonly ChatMessage[]
  /** Upper bound of generated tokens. */
  readonly maxTokens: number
  readonly priority: number
}

/** State of one run as recorded by the engine. */
export const runRecordSchema = z.object({
  requestId: z.string(),
  digest: z.string(),
  holder: z.string(),
  team: z.string(),
  budget: z.string(),
  model: z.string(),
  state: z.enum(['running', 'finished', 'cancelled', 'sealed']),
  promptTokens: z.number().int().nonnegative(),
  completionTokens: z.number().int().nonnegative()
})
export type RunRecord = z.infer<typeof runRecordSchema>

/** Tokens used by a run, as the engine reports them. */
export const usageSchema = z.object({
  promptTokens: z.number().int().nonnegative(),
  completionTokens: z.number().int().nonnegative()
})
export type Usage = z.infer<typeof usageSchema>

/** One piece of an answer; sequence numbers start at 0 and have no gaps. */
export interface AnswerPiece {
  readonly requestId: string
  readonly sequence: number
  readonly text: string
}

/** Last event of a complete answer. */
export interface AnswerEnd {
  readonly finishReason: 'stop' | 'length'
  readonly usage: Usage
}

/** Event of an engine stream: pieces, then exactly one end. A stream that stops without an end is incomplete. */
export type EngineEvent =
  | { readonly kind: 'piece', readonly piece: AnswerPiece }
  | { readonly kind: 'end', readonly requestId: string, readonly end: AnswerEnd }

/** Load of an engine; the report lags behind. */
export const loadReportSchema = z.object({
  /** Wall-clock milliseconds of the engine when the load was measured. */
  asOf: z.number(),
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
  slots: z.number().int().positive(),
  models: z.array(z.object({ model: z.string(), version: z.string(), adapters: z.array(z.string()) })),
  leaving: z.boolean()
})
export type LoadReport = z.infer<typeof loadReportSchema>

/** Prefix cache events after a sequence number; numbers may be missing. */
export const cacheEventsSchema = z.object({
  next: z.number().int(),
  events: z.array(z.object({ sequence: z.number().int(), kind: z.enum(['stored', 'evicted']), prefixHash: z.string() }))
})
export type CacheEvents = z.infer<typeof cacheEventsSchema>

/** An order to an engine, idempotent by `orderId`; `fencing` rejects orders of a former leader. */
export const engineOrderSchema = z.object({
  orderId: z.string(),
  fencing: z.number().int(),
  kind: z.enum(['load', 'unload', 'loadAdapter', 'role']),
  model: z.string(),
  version: z.string(),
  adapter: z.string().optional(),
  role: z.enum(['prefill', 'decode', 'both']).optional()
})
export type EngineOrder = z.infer<typeof engineOrderSchema>

/** Load from the response header `x-engine-load`. */
export interface StreamLoad {
  readonly running: number
  readonly waiting: number
}

/** A stream in progress. */
export interface EngineStream {
  /** Holder that started the run, from the header `x-run-holder`; another holder when the submit joined its run. */
  readonly holder: string
  /** Absent when the engine does not report it. */
  readonly load?: StreamLoad
  readonly events: AsyncIterable<EngineEvent>
  /** Closes the connection without cancelling the run. */
  close (): void
}

/**
 * Client of model engines. Failures: `runnerUnreachable`, with `ran: no` when no connection was
 * made and `ran: unknown` when the response was lost; `keyReused` when the run has another digest;
 * `runnerRefused` when the id was sealed or the engine refuses.
 */
export interface EngineClient {
  /**
   * Starts the run, or joins the existing run with this id; pieces start at number 0.
   * @param address - IPv4:port
   * @param onLeaving - called when the engine refuses because it is leaving
   */
  submit (address: string, req: EngineRequest, onLeaving?: () => void): Promise<Either<Failure, EngineStream>>
  /** Continues the stream of an existing run at a piece number. */
  resume (address: string, requestId: string, sequence: number): Promise<Either<Failure, EngineStream>>
  /** Record of a run; nothing if the engine has none. */
  find (address: string, requestId: string): Promise<Either<Failure, Maybe<RunRecord>>>
  /** Records of all runs started by a holder. */
  listByHolder (address: string, holder: string): Promise<Either<Failure, readonly RunRecord[]>>
  cancel (address: string, requestId: string): Promise<Either<Failure, RunRecord>>
  /** Makes the engine refuse later submits of this id. If a run exists already, it is not sealed and its record is returned. */
  seal (address: string, requestId: string): Promise<Either<Failure, Maybe<RunRecord>>>
  load (address: string): Promise<Either<Failure, LoadReport>>
  cacheEvents (address: string, after: number): Promise<Either<Failure, CacheEvents>>
  order (address: string, order: EngineOrder): Promise<Either<Failure, void>>
}
