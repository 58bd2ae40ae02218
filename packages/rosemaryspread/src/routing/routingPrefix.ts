/**
 * Hashes of prompt prefixes as used by the engines' cache events: one hash after each message, over all
 * text up to there.
 */
import { createHash } from 'node:crypto'

const HASH_HEX_DIGITS = 16

/**
 * Hashes of the growing prefixes of a conversation, longest last.
 * @param model - prefixes of different models never match
 */
export function prefixHashes (model: string, messages: ReadonlyArray<{ readonly role: string, readonly content: string }>): string[] {
  const hash = createHash('sha256').update(model)
  return messages.map(({ role, content }) => {
    hash.update(`\n${role}:${content}`)
    return hash.copy().digest('hex').slice(0, HASH_HEX_DIGITS)
  })
}
