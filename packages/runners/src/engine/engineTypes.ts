/**
 * A model engine as this project meets it: OpenAI-style chat completions over SSE, with a
 * request id by which a run is joined, resumed, cancelled, looked up or sealed.
 */
import * as z from 'zod'
import type { Either, Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** One message of a conversation. */
export const chatMessageSchema = z.object({
  role: z.enum(['system', 'user', 'assistant']),
  content: z.string().max(1_000_000)
})
export type ChatMessage = z.infer<typeof chatMessageSchema>

/** What is sent to the engine. */
export interface EngineRequest {
  readonly requestId: string
  /** Digest of the caller's body; a run joined under the id must have the same. */
  readonly digest: string
  /** Holder whose allotment pays for the run. */
  readonly holder: string
  readonly team: string
  readonly budget: string
  readonly model: string
  readonly adapter?: string
  readonly messages: readonly ChatMessage[]
  /** Hard cap of generated tokens. */
  readonly maxTokens: number
  readonly priority: number
}

/** State of one run by the engine's own record. */
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

/** One piece of a stream, numbered from 0 without gaps. */
export interface AnswerPiece {
  readonly requestId: string
  readonly sequence: number
  readonly text: string
}

/** Last event of a whole answer. */
export interface AnswerEnd {
  readonly finishReason: 'stop' | 'length'
  readonly usage: Usage
}

/** What an engine stream yields: pieces, then exactly one end; a stream that stops without an end was cut. */
export type EngineEvent =
  | { readonly kind: 'piece', readonly piece: AnswerPiece }
  | { readonly kind: 'end', readonly requestId: string, readonly end: AnswerEnd }

/** Lagging report of load. */
export const loadReportSchema = z.object({
  /** Wall milliseconds at the engine when the figures held. */
  asOf: z.number(),
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
  slots: z.number().int().positive(),
  models: z.array(z.object({ model: z.string(), version: z.string(), adapters: z.array(z.string()) })),
  leaving: z.boolean()
})
export type LoadReport = z.infer<typeof loadReportSchema>

/** Cache events since a number; numbers may be missing. */
export const cacheEventsSchema = z.object({
  next: z.number().int(),
  events: z.array(z.object({ sequence: z.number().int(), kind: z.enum(['stored', 'evicted']), prefixHash: z.string() }))
})
export type CacheEvents = z.infer<typeof cacheEventsSchema>

/** An order to an engine; idempotent by its id. */
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

/** Load that an engine tells with an answer, in its header `x-engine-load`. */
export interface StreamLoad {
  readonly running: number
  readonly waiting: number
}

/** A stream in progress. */
export interface EngineStream {
  /** Holder that started the run, by the engine's header `x-run-holder`; another's when the submit joined a run. */
  readonly holder: string
  /** Absent when the engine does not tell it. */
  readonly load?: StreamLoad
  readonly events: AsyncIterable<EngineEvent>
  /** Closes the connection without cancelling the run. */
  close (): void
}

/**
 * One engine. Failures: `runnerUnreachable` with `ran: no` when no connection was made and
 * `ran: unknown` when the answer was lost, `keyReused` when the run has another digest,
 * `runnerRefused` when the id was sealed or the engine refuses.
 */
export interface EngineClient {
  /**
   * Starts the run, or joins it when the id is known; pieces come from number 0.
   * @param address - IPv4:port
   * @param req - the request
   * @param onLeaving - told when the engine refuses since it is leaving
   */
  submit (address: string, req: EngineRequest, onLeaving?: () => void): Promise<Either<Failure, EngineStream>>
  /** Goes on with a known run from a piece number. */
  resume (address: string, requestId: string, sequence: number): Promise<Either<Failure, EngineStream>>
  /** The engine's record of a run. */
  find (address: string, requestId: string): Promise<Either<Failure, Maybe<RunRecord>>>
  /** All records whose holder is the given one. */
  listByHolder (address: string, holder: string): Promise<Either<Failure, readonly RunRecord[]>>
  cancel (address: string, requestId: string): Promise<Either<Failure, RunRecord>>
  /** Leaves a mark that refuses a later submit of this id; answers the record when a run is known already. */
  seal (address: string, requestId: string): Promise<Either<Failure, Maybe<RunRecord>>>
  load (address: string): Promise<Either<Failure, LoadReport>>
  cacheEvents (address: string, after: number): Promise<Either<Failure, CacheEvents>>
  order (address: string, order: EngineOrder): Promise<Either<Failure, void>>
}
