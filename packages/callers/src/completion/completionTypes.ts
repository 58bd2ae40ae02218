/**
 * Interfaces between the caller API and the rest of the VM. The API handles HTTP only; the daemon
 * supplies the implementations, which handle budgets and runners.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Body of `POST /v1/chat/completions`; unknown members are ignored, since client libraries send many. */
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

export interface CallerIdentity {
  readonly team: string
}

export interface CompletionCall {
  readonly caller: CallerIdentity
  readonly body: CompletionBody
  /** Hex SHA-256 of the body as received. */
  readonly digest: string
  /** Value of the `X-Request-Id` response header: derived from the idempotency key, equally on every VM, or random without a key. */
  readonly requestId?: string
  readonly idempotencyKey?: string
  /** Timeout requested by the caller; the configured timeout when absent. */
  readonly timeoutMs?: number
  /** Budget to bill: the team's, or a share of it named `budget:part`; the team's when absent. */
  readonly budget?: string
  /** Aborted when the caller disconnects. */
  readonly gone: AbortSignal
}

/** Usage as reported to the caller. */
export interface CompletionUsage {
  readonly promptTokens: number
  readonly completionTokens: number
}

/** Receives an answer: `begin` before the first piece, then the pieces, then either `finish` or `fail`. */
export interface AnswerSink {
  begin (requestId: string, model: string): void
  piece (text: string): void
  finish (finishReason: 'stop' | 'length', usage: CompletionUsage): void
  fail (failure: Failure): void
}

/** Runs completions; the promise resolves after `finish` or `fail` of the sink. */
export interface CompletionService {
  complete (call: CompletionCall, sink: AnswerSink): Promise<void>
}

export interface ServiceCall {
  readonly caller: CallerIdentity
  readonly service: string
  readonly method: 'GET' | 'POST'
  /** Path and query below the service, starting with `/`. */
  readonly path: string
  readonly contentType?: string
  readonly body: Buffer
  readonly digest: string
  /** Value of the `X-Request-Id` response header, as in {@link CompletionCall}. */
  readonly requestId?: string
  readonly idempotencyKey?: string
  readonly timeoutMs?: number
  readonly gone: AbortSignal
}

export interface ServiceAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  readonly requestId: string
  /** Whether this is the stored answer of an earlier call with the same idempotency key. */
  readonly repeated: boolean
}

export interface ApplicationService {
  call (call: ServiceCall): Promise<Either<Failure, ServiceAnswer>>
}

/** Answer of `GET /v1/addresses`. */
export interface AddressAnswer {
  readonly version: number
  /** Base URLs, most preferred first. */
  readonly addresses: readonly string[]
  /** Milliseconds for which the caller may cache the list. */
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

/** Authentication and read-only queries of the caller API. */
export interface CallerDirectory {
  /** Finds the team by the hash of the key, compared in constant time. Failure: `unauthorized`. */
  authenticate (bearer: string): Either<Failure, CallerIdentity>
  models (caller: CallerIdentity): readonly string[]
  /** @param caller - absent without a valid key */
  addresses (caller?: CallerIdentity): AddressAnswer
  usage (caller: CallerIdentity): Promise<Either<Failure, UsageAnswer>>
  /** Fails unless the VM accepts new requests: a configuration is in force and the VM is not draining. */
  ready (): Either<Failure, void>
  /** Metrics in the Prometheus text format. */
  metrics (): string
}
