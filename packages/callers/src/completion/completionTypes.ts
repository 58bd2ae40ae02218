/**
 * What the HTTP API for callers asks of the rest of the VM. The API package knows HTTP and
 * nothing of budgets or runners; the daemon binds the implementations.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Body of `POST /v1/chat/completions`; unknown members are ignored, as callers' libraries send many. */
export const completionBodySchema = z.object({
  model: z.string().min(1).max(128),
  messages: z.array(z.object({
    role: z.enum(['system', 'user', 'assistant']),
    content: z.string().max(1_000_000)
  })).min(1).max(2000),
  max_tokens: z.number().int().positive().max(1_000_000).optional(),
  max_completion_tokens: z.number().int().positive().max(1_000_000).optional(),
  stream: z.boolean().default(false),
  adapter: z.string().max(128).optional()
})
export type CompletionBody = z.infer<typeof completionBodySchema>

/** The team behind a bearer key. */
export interface CallerIdentity {
  readonly team: string
}

/** A completion to be served. */
export interface CompletionCall {
  readonly caller: CallerIdentity
  readonly body: CompletionBody
  /** Hex SHA-256 of the body as received. */
  readonly digest: string
  /** As the caller reads it in `X-Request-Id`: the id of the key at every VM, or a fresh one for a call without key. */
  readonly requestId?: string
  readonly idempotencyKey?: string
  /** Milliseconds the caller is ready to wait; the configured timeout when absent. */
  readonly timeoutMs?: number
  /** Budget that pays: the team's, or a part of it named `budget:part`; the team's when absent. */
  readonly budget?: string
  /** Aborted when the caller goes away. */
  readonly gone: AbortSignal
}

/** Usage as told to the caller. */
export interface CompletionUsage {
  readonly promptTokens: number
  readonly completionTokens: number
}

/** Where the pieces of an answer go. `begin` comes before the first piece; then pieces; then one of `finish` or `fail`. */
export interface AnswerSink {
  begin (requestId: string, model: string): void
  piece (text: string): void
  finish (finishReason: 'stop' | 'length', usage: CompletionUsage): void
  fail (failure: Failure): void
}

/** Serves completions. Resolves after `finish` or `fail`. */
export interface CompletionService {
  complete (call: CompletionCall, sink: AnswerSink): Promise<void>
}

/** A call to an application service. */
export interface ServiceCall {
  readonly caller: CallerIdentity
  readonly service: string
  readonly method: 'GET' | 'POST'
  /** Path and query below the service, beginning with `/`. */
  readonly path: string
  readonly contentType?: string
  readonly body: Buffer
  readonly digest: string
  /** As the caller reads it in `X-Request-Id`: the id of the key at every VM, or a fresh one for a call without key. */
  readonly requestId?: string
  readonly idempotencyKey?: string
  readonly timeoutMs?: number
  readonly gone: AbortSignal
}

/** The whole answer of an application service. */
export interface ServiceAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  readonly requestId: string
  /** Whether this is the kept answer of an earlier call with the same key. */
  readonly repeated: boolean
}

/** Serves calls to application services. */
export interface ApplicationService {
  call (call: ServiceCall): Promise<Either<Failure, ServiceAnswer>>
}

/** Answer of `GET /v1/addresses`. */
export interface AddressAnswer {
  readonly version: number
  /** Base URLs in the order to try. */
  readonly addresses: readonly string[]
  readonly keepMs: number
}

/** Answer of `GET /v1/usage`, in tokens. */
export interface UsageAnswer {
  readonly team: string
  readonly budget: string
  readonly paid: number
  readonly spent: number
  readonly allotted: number
}

/** Everything else the API asks. */
export interface CallerDirectory {
  /** The team whose key hash fits; compared in constant time. */
  authenticate (bearer: string): Either<Failure, CallerIdentity>
  models (caller: CallerIdentity): readonly string[]
  /** @param caller - the team, when the caller gave a valid key */
  addresses (caller?: CallerIdentity): AddressAnswer
  usage (caller: CallerIdentity): Promise<Either<Failure, UsageAnswer>>
  /** Whether the VM takes new work: a configuration is in force and it does not drain. */
  ready (): Either<Failure, void>
  /** Plain-text metrics. */
  metrics (): string
}
