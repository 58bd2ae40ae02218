/**
 * Validates a completion request before anything is reserved or dispatched: team, model, adapter,
 * budget, token cap and deadline. Pure: configuration and time are arguments.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { CompletionCall } from '@rosemaryspread/callers/completion/completionTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { FleetConfig, TeamConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import { keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { EngineRequest } from '@rosemaryspread/runners/engine/engineTypes.js'

/** Upper bound of the tokens that a chat template adds to each message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 8

/** A validated completion with the upper bounds of its cost. */
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
  /** Upper bound, see {@link promptTokenBound}. */
  readonly promptTokens: number
  /** Hard cap on generated tokens. */
  readonly maxTokens: number
  readonly deadline: Instant
}

/** Upper bound of the tokens of a prompt: a byte-level tokenizer emits at most one token per byte. */
export function promptTokenBound (messages: ReadonlyArray<{ readonly content: string }>): number {
  return messages.reduce((sum, message) => sum + Buffer.byteLength(message.content) + TEMPLATE_TOKENS_PER_MESSAGE, 0)
}

/**
 * Validates a request against the active configuration.
 * @param newId - request id used when the caller sent neither an idempotency key nor a request id
 */
export function admitCompletion (call: CompletionCall, config: FleetConfig, newId: string, now: Instant): Either<Failure, AdmittedCompletion> {
  const { team } = call.caller
  const { model, adapter, messages } = call.body
  const teamConfig = config.teams[team]
  if (teamConfig === undefined) return Left(new Failure('forbidden', `team ${team} is not in the configuration`, { ran: 'no' }))
  const modelConfig = teamConfig.models.includes(model) ? config.models[model] : undefined
  if (modelConfig === undefined) return Left(new Failure('unknownModel', `team ${team} may not use model ${model}`, { ran: 'no' }))
  if (adapter !== undefined && !modelConfig.adapters.includes(adapter)) {
    return Left(new Failure('unknownModel', `model ${model} has no adapter ${adapter}`, { ran: 'no' }))
  }
  const budget = resolveBudget(teamConfig.budget, call.budget)
  if (budget === undefined) return Left(new Failure('forbidden', `team ${team} may not draw on budget ${call.budget}`, { ran: 'no' }))
  const requestedTokens = call.body.max_completion_tokens ?? call.body.max_tokens ?? modelConfig.maxTokens
  const timeoutMs = Math.min(call.timeoutMs ?? config.limits.requestTimeoutMs, config.limits.requestTimeoutMs)
  return Right({
    requestId: call.idempotencyKey === undefined ? call.requestId ?? newId : keyedRequestId(team, call.idempotencyKey),
    keyed: call.idempotencyKey !== undefined,
    team,
    teamConfig,
    budget,
    model,
    ...(adapter === undefined ? {} : { adapter }),
    digest: call.digest,
    messages,
    promptTokens: promptTokenBound(messages),
    maxTokens: Math.min(requestedTokens, modelConfig.maxTokens),
    deadline: { mono: now.mono + timeoutMs, wall: now.wall + timeoutMs }
  })
}

/** A team may draw on its own budget and on sub-budgets `<budget>:<name>`; a budget id cannot contain `:`. */
function resolveBudget (teamBudget: string, requestedBudget: string | undefined): string | undefined {
  if (requestedBudget === undefined || requestedBudget === teamBudget) return teamBudget
  return requestedBudget.startsWith(`${teamBudget}:`) ? requestedBudget : undefined
}

/** Milliseconds left until a deadline, by the monotonic clock; negative once it has passed. */
export function msUntil (deadline: Instant, now: Instant): number {
  return deadline.mono - now.mono
}
