/**
 * Deterministic answers of the engine stand-in: the same request id, model and messages always give the same
 * text, others a different one, so that a verifier can determine whether an answer is complete and belongs to its request.
 */
import seedrandom from 'seedrandom'
import type { ChatMessage } from '@rosemaryspread/runners/engine/engineTypes.js'
import { answerWords, detectLanguage } from './engineWords.js'

/** Bounds of the length of an answer that its token limit does not cut, in tokens. */
export const MIN_ANSWER_TOKENS = 16
export const MAX_ANSWER_TOKENS = 240
const CHARACTERS_PER_TOKEN = 4

/** What determines an answer. */
export interface AnswerSubject {
  readonly requestId: string
  readonly model: string
  readonly messages: readonly ChatMessage[]
}

/** An answer before it is generated; each piece is one token. */
export interface PlannedAnswer {
  readonly pieces: readonly string[]
  readonly finishReason: 'stop' | 'length'
}

export function planAnswer (subject: AnswerSubject, maxTokens: number): PlannedAnswer {
  const conversation = subject.messages.map(({ content }) => content).join('\n')
  const random = seedrandom(JSON.stringify([subject.requestId, subject.model, conversation]))
  const words = answerWords[detectLanguage(subject.model, conversation)]
  const length = MIN_ANSWER_TOKENS + Math.floor(random() * (MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1))
  const pieces = Array.from({ length: Math.min(length, maxTokens) }, () => `${words[Math.floor(random() * words.length)]} `)
  return { pieces, finishReason: length > maxTokens ? 'length' : 'stop' }
}

/** The full text of an answer. */
export function answerText (subject: AnswerSubject, maxTokens: number): string {
  return planAnswer(subject, maxTokens).pieces.join('')
}

/** Tokens of a prompt: one per four characters of all contents together, rounded up. */
export function countPromptTokens (messages: readonly ChatMessage[]): number {
  return estimateTokens(messages.reduce((sum, { content }) => sum + content.length, 0))
}

/**
 * Tokens of a prompt of this length.
 * @param characters - UTF-16 code units
 */
export function estimateTokens (characters: number): number {
  return Math.ceil(characters / CHARACTERS_PER_TOKEN)
}
