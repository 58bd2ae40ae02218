/**
 * Builds the JSON bodies of chat completions, whole and chunked, in OpenAI's format.
 */
import type { CompletionUsage } from '../completion/completionTypes.js'

/** Fields common to all chunks of one answer. */
export interface AnswerMetadata {
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

function usageJson (usage: CompletionUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens
  }
}

/** One chunk of a streamed answer. */
export function contentChunk (metadata: AnswerMetadata, delta: ChunkDelta): object {
  return {
    id: metadata.requestId,
    object: 'chat.completion.chunk',
    created: metadata.created,
    model: metadata.model,
    choices: [{ index: 0, delta, finish_reason: null }]
  }
}

/** The last chunk of a streamed answer, with finish reason and usage. */
export function finalChunk (metadata: AnswerMetadata, reason: FinishReason, usage: CompletionUsage): object {
  return {
    ...contentChunk(metadata, {}),
    choices: [{ index: 0, delta: {}, finish_reason: reason }],
    usage: usageJson(usage)
  }
}

/** The body of an answer that is not streamed. */
export function completionBody (metadata: AnswerMetadata, content: string, reason: FinishReason, usage: CompletionUsage): object {
  return {
    id: metadata.requestId,
    object: 'chat.completion',
    created: metadata.created,
    model: metadata.model,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: reason }],
    usage: usageJson(usage)
  }
}
