/**
 * Builds the JSON bodies of chat completions, whole and chunked, in OpenAI's format.
 */
import type { CompletionUsage } from '../completion/completionTypes.js'

/** Fields common to all chunks of one answer. */
export interface AnswerHead {
  readonly requestId: string
  readonly model: string
  /** Seconds since the Unix epoch. */
  readonly created: number
}

export type FinishReason = 'stop' | 'length'

export interface ChunkDelta {
  readonly role?: 'assistant'
  readonly content?: string
}

function usageBody (usage: CompletionUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens
  }
}

/** One chunk of a streamed answer. */
export function contentChunk (head: AnswerHead, delta: ChunkDelta): object {
  return {
    id: head.requestId,
    object: 'chat.completion.chunk',
    created: head.created,
    model: head.model,
    choices: [{ index: 0, delta, finish_reason: null }]
  }
}

/** The last chunk of a streamed answer, with finish reason and usage. */
export function finalChunk (head: AnswerHead, reason: FinishReason, usage: CompletionUsage): object {
  return {
    ...contentChunk(head, {}),
    choices: [{ index: 0, delta: {}, finish_reason: reason }],
    usage: usageBody(usage)
  }
}

/** The body of an answer that is not streamed. */
export function wholeCompletion (head: AnswerHead, content: string, reason: FinishReason, usage: CompletionUsage): object {
  return {
    id: head.requestId,
    object: 'chat.completion',
    created: head.created,
    model: head.model,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: reason }],
    usage: usageBody(usage)
  }
}
