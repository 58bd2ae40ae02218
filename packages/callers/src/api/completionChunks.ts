/**
 * The JSON of chat completions, whole and in chunks, as OpenAI's clients read it.
 */
import type { CompletionUsage } from '../completion/completionTypes.js'

/** What is said of every chunk of one answer. */
export interface AnswerHead {
  readonly requestId: string
  readonly model: string
  /** Seconds since the Unix epoch. */
  readonly created: number
}

/** Why an answer ended. */
export type FinishReason = 'stop' | 'length'

/** New content of one chunk. */
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

/**
 * One chunk of a streamed answer.
 * @param head - the answer it belongs to
 * @param delta - new content
 */
export function contentChunk (head: AnswerHead, delta: ChunkDelta): object {
  return {
    id: head.requestId,
    object: 'chat.completion.chunk',
    created: head.created,
    model: head.model,
    choices: [{ index: 0, delta, finish_reason: null }]
  }
}

/**
 * The last chunk of a streamed answer.
 * @param head - the answer it belongs to
 * @param reason - why it ended
 * @param usage - tokens used
 */
export function finalChunk (head: AnswerHead, reason: FinishReason, usage: CompletionUsage): object {
  return {
    ...contentChunk(head, {}),
    choices: [{ index: 0, delta: {}, finish_reason: reason }],
    usage: usageBody(usage)
  }
}

/**
 * A whole answer.
 * @param head - the answer
 * @param content - its text
 * @param reason - why it ended
 * @param usage - tokens used
 */
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
