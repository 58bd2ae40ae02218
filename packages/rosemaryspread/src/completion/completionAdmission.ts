/**
 * Checks of a completion before anything is reserved or dispatched: the team, the model, the
 * caps and the deadline. Pure; the configuration and the time are given.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { CompletionCall } from '@rosemaryspread/callers/completion/completionTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { FleetConfig, TeamConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import { keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { EngineRequest } from '@rosemaryspread/runners/engine/engineTypes.js'

/** Tokens a chat template may add to each message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 8

/** A completion that may be served, with its worst case. */
export interface AdmittedCompletion {
  readonly requestId: string
  readonly keyed: boolean
  readonly team: string
  readonly teamConfig: TeamConfig
  readonly budget: string
  readonly model: string
  readonly adapter?: string
  readonly digest: string
  readonly messages: EngineRequest['messages']
  /** Upper bound of the prompt's tokens. */
  readonly promptTokens: number
  /** Hard cap of generated tokens. */
  readonly maxTokens: number
  readonly deadline: Instant
}

/**
 * Upper bound of the tokens of a prompt: a byte-level tokenizer makes at most one token of a byte.
 * @param messages - the conversation
 */
export function promptBound (messages: ReadonlyArray<{ readonly content: string }>): number {
  return messages.reduce((sum, message) => sum + Buffer.byteLength(message.content) + TEMPLATE_TOKENS_PER_MESSAGE, 0)
}

/**
 * Checks a completion against the configuration.
 * @param call - what the caller asks
 * @param config - the configuration in force
 * @param freshId - id used when the caller gave no key and the call has no id
 * @param now - both clocks
 */
export function admitCompletion (call: CompletionCall, config: FleetConfig, freshId: string, now: Instant): Either<Failure, AdmittedCompletion> {
  const { team } = call.caller
  const { model, adapter, messages } = call.body
  const teamConfig = config.teams[team]
  if (teamConfig === undefined) return Left(new Failure('forbidden', `team ${team} is not in the configuration`))
  const modelConfig = teamConfig.models.includes(model) ? config.models[model] : undefined
  if (modelConfig === undefined) return Left(new Failure('unknownModel', `team ${team} may not use model ${model}`))
  if (adapter !== undefined && !modelConfig.adapters.includes(adapter)) {
    return Left(new Failure('unknownModel', `model ${model} has no adapter ${adapter}`))
  }
  const budget = payingBudget(teamConfig.budget, call.budget)
  if (budget === undefined) return Left(new Failure('forbidden', `team ${team} may not draw on budget ${call.budget}`))
  const asked = call.body.max_completion_tokens ?? call.body.max_tokens ?? modelConfig.maxTokens
  const timeoutMs = Math.min(call.timeoutMs ?? config.limits.requestTimeoutMs, config.limits.requestTimeoutMs)
  return Right({
    requestId: call.idempotencyKey === undefined ? call.requestId ?? freshId : keyedRequestId(team, call.idempotencyKey),
    keyed: call.idempotencyKey !== undefined,
    team,
    teamConfig,
    budget,
    model,
    ...(adapter === undefined ? {} : { adapter }),
    digest: call.digest,
    messages,
    promptTokens: promptBound(messages),
    maxTokens: Math.min(asked, modelConfig.maxTokens),
    deadline: { mono: now.mono + timeoutMs, wall: now.wall + timeoutMs }
  })
}

/** A team draws on its own budget and the parts of it; `:` cannot stand in the id of a budget. */
function payingBudget (own: string, named: string | undefined): string | undefined {
  if (named === undefined || named === own) return own
  return named.startsWith(`${own}:`) ? named : undefined
}

/**
 * Milliseconds left until a deadline; the monotonic clock decides.
 * @param deadline - the deadline
 * @param now - both clocks
 */
export function msUntil (deadline: Instant, now: Instant): number {
  return deadline.mono - now.mono
}
