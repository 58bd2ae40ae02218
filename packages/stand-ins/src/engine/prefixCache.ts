/**
 * Prompt prefix cache of the engine. Prefixes end at message boundaries, capacity is counted in tokens, and the
 * least recently used prefix is evicted first. Stores and evictions are published with a lag, and some are lost.
 */
import { createHash } from 'node:crypto'
import type { CacheEvents, ChatMessage } from '@rosemaryspread/runners/engine/engineTypes.js'
import { estimateTokens } from './engineText.js'

const MAX_EVENTS = 10_000
const HASH_LENGTH = 16

/** A prefix of a conversation. */
export interface PromptPrefix {
  readonly hash: string
  /** Tokens from the start of the prompt to the end of the prefix. */
  readonly tokens: number
}

export interface PrefixCacheOptions {
  /** In tokens. */
  readonly capacity: number
  readonly eventLagMs: number
  /** Fraction of events that are lost, 0 to 1. */
  readonly eventLoss: number
}

type CacheEvent = CacheEvents['events'][number] & { readonly at: number }

/**
 * The prefixes of a prompt, shortest first, one ending at each message. The hash is the first 16 hex digits of
 * SHA-256 over the model name and, for each message up to there, `\n` role `:` content.
 */
export function promptPrefixes (model: string, messages: readonly ChatMessage[]): readonly PromptPrefix[] {
  const hash = createHash('sha256').update(model)
  let characters = 0
  return messages.map(({ role, content }) => {
    hash.update(`\n${role}:${content}`)
    characters += content.length
    return { hash: hash.copy().digest('hex').slice(0, HASH_LENGTH), tokens: estimateTokens(characters) }
  })
}

/** Least-recently-used cache that publishes its changes. */
export class PrefixCache {
  /** While true, every event is lost. */
  dropEvents = false
  /** Tokens that each prefix adds to the next shorter one, least recently used first. */
  private readonly stored = new Map<string, number>()
  private usedTokens = 0
  private lastSequence = 0
  private readonly events: CacheEvent[] = []

  /** @param random - numbers in [0, 1) */
  constructor (private readonly options: PrefixCacheOptions, private readonly random: () => number) {}

  /**
   * Tokens of the longest cached prefix.
   * @param prefixes - shortest first
   */
  cachedTokens (prefixes: readonly PromptPrefix[]): number {
    let cached = 0
    for (const { hash, tokens } of prefixes) {
      if (!this.touch(hash)) break
      cached = tokens
    }
    return cached
  }

  /**
   * Stores the prefixes of a computed prompt, and evicts others beyond the capacity.
   * @param prefixes - shortest first
   */
  store (prefixes: readonly PromptPrefix[], now: number): void {
    let previousTokens = 0
    for (const { hash, tokens } of prefixes) {
      if (!this.touch(hash)) this.add(hash, tokens - previousTokens, now)
      previousTokens = tokens
    }
    while (this.usedTokens > this.options.capacity) this.evictOldest(now)
  }

  /**
   * Events published by `now`.
   * @param after - last sequence number that the caller has
   */
  eventsAfter (after: number, now: number): CacheEvents {
    const visible = this.events.filter(({ at }) => at <= now - this.options.eventLagMs)
    const events = visible
      .filter(({ sequence }) => sequence > after)
      .map(({ sequence, kind, prefixHash }) => ({ sequence, kind, prefixHash }))
    return { next: visible.at(-1)?.sequence ?? 0, events }
  }

  /** Number of prefixes and tokens stored. */
  get size (): { readonly prefixes: number, readonly tokens: number } {
    return { prefixes: this.stored.size, tokens: this.usedTokens }
  }

  private touch (hash: string): boolean {
    const tokens = this.stored.get(hash)
    if (tokens === undefined) return false
    this.stored.delete(hash)
    this.stored.set(hash, tokens)
    return true
  }

  private add (hash: string, tokens: number, now: number): void {
    this.stored.set(hash, tokens)
    this.usedTokens += tokens
    this.publish('stored', hash, now)
  }

  private evictOldest (now: number): void {
    const [oldest] = this.stored
    if (oldest === undefined) return
    this.stored.delete(oldest[0])
    this.usedTokens -= oldest[1]
    this.publish('evicted', oldest[0], now)
  }

  private publish (kind: CacheEvent['kind'], prefixHash: string, at: number): void {
    const sequence = ++this.lastSequence
    const lost = this.random() < this.options.eventLoss || this.dropEvents
    if (lost) return
    this.events.push({ sequence, kind, prefixHash, at })
    if (this.events.length > MAX_EVENTS) this.events.shift()
  }
}
