/**
 * The answer of the engine stand-in: always the same for the same request id, model and messages,
 * and different for others. A checker can so tell whether an answer is whole and its own.
 */
import seedrandom from 'seedrandom'
import type { ChatMessage } from '@rosemaryspread/runners/engine/engineTypes.js'
import { answerWords, languageOf } from './engineWords.js'

/** Fewest and most tokens of an answer that is not capped. */
export const SHORTEST_ANSWER = 16
export const LONGEST_ANSWER = 240
const CHARACTERS_PER_TOKEN = 4

/** What decides an answer. */
export interface AnswerSubject {
  readonly requestId: string
  readonly model: string
  readonly messages: readonly ChatMessage[]
}

/** An answer as it will be generated; every piece is one token. */
export interface PlannedAnswer {
  readonly pieces: readonly string[]
  readonly finishReason: 'stop' | 'length'
}

/**
 * Plans an answer.
 * @param subject - request id, model and messages
 * @param maxTokens - cap of generated tokens
 */
export function planAnswer (subject: AnswerSubject, maxTokens: number): PlannedAnswer {
  const said = subject.messages.map(({ content }) => content).join('\n')
  const random = seedrandom(JSON.stringify([subject.requestId, subject.model, said]))
  const words = answerWords[languageOf(subject.model, said)]
  const length = SHORTEST_ANSWER + Math.floor(random() * (LONGEST_ANSWER - SHORTEST_ANSWER + 1))
  const pieces = Array.from({ length: Math.min(length, maxTokens) }, () => `${words[Math.floor(random() * words.length)]} `)
  return { pieces, finishReason: length > maxTokens ? 'length' : 'stop' }
}

/**
 * The whole text of an answer.
 * @param subject - request id, model and messages
 * @param maxTokens - cap of generated tokens
 */
export function answerText (subject: AnswerSubject, maxTokens: number): string {
  return planAnswer(subject, maxTokens).pieces.join('')
}

/**
 * Tokens of a prompt: one for each four characters of the contents together, rounded up.
 * @param messages - the conversation
 */
export function promptTokensOf (messages: readonly ChatMessage[]): number {
  return tokensFor(messages.reduce((sum, { content }) => sum + content.length, 0))
}

/**
 * Tokens of so many characters of prompt.
 * @param characters - UTF-16 units, as JavaScript counts them
 */
export function tokensFor (characters: number): number {
  return Math.ceil(characters / CHARACTERS_PER_TOKEN)
}
