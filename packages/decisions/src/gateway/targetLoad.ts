/**
 * Estimates the prompt work of one target: tokens still to prefill, its prefill speed, and the shared prompt parts in its cache. A
 * VM counts its own requests exactly; peers report their large prompts, which are assumed to be processed at the observed speed.
 */

/** Speed assumed until one is observed; the slowest pools prefill about 40 tokens per millisecond. */
const DEFAULT_TOKENS_PER_MS = 40
/** Bounds of an observed speed; values outside them do not come from prefill. */
const MIN_TOKENS_PER_MS = 2
const MAX_TOKENS_PER_MS = 1_000
/** Weight of a new sample in the moving average: one slow response does not make a target slow, several do. */
const SPEED_SAMPLE_WEIGHT = 0.2
/** Samples with fewer tokens are ignored: their delay reflects the network and engine steps, not prefill. */
const MIN_SAMPLE_TOKENS = 2_000
/** Time for which a target is assumed to cache shared parts sent to it. */
const CACHE_TTL_MS = 8_000
/** Maximum cache entries stored per target. */
const MAX_CACHE_ENTRIES = 2_000

/** A request that waits for its first event. */
interface PendingRequest {
  readonly tokens: number
  /** Tokens to prefill before its first event, including those of other requests. */
  readonly queuedTokens: number
  readonly sentAt: number
}

/** Load of one target. Times are monotonic milliseconds, work is in prompt tokens. */
export class TargetLoad {
  private readonly pending = new Map<number, PendingRequest>()
  private pendingTokens = 0
  /** Unprocessed tokens reported by peers, as of `peerTokensAt`. */
  private peerTokens = 0
  private peerTokensAt = 0
  private observedTokensPerMs: number | undefined
  private nextTicket = 0
  /** When shared parts were last sent to the target, by their key; oldest first. */
  private readonly cached = new Map<string, number>()

  /** Prefill speed. */
  get tokensPerMs (): number {
    return this.observedTokensPerMs ?? DEFAULT_TOKENS_PER_MS
  }

  /** Tokens to prefill before those of a new request. */
  queuedTokens (mono: number): number {
    return this.pendingTokens + this.remainingPeerTokens(mono)
  }

  /**
   * Counts a request sent by this VM.
   * @param tokens - prompt tokens to prefill for it
   * @returns ticket for `endPrefill`
   */
  sent (tokens: number, mono: number): number {
    this.nextTicket += 1
    this.pending.set(this.nextTicket, { tokens, queuedTokens: this.queuedTokens(mono) + tokens, sentAt: mono })
    this.pendingTokens += tokens
    return this.nextTicket
  }

  /**
   * Handles the first event of a request, or its end without one.
   * @param isAnswered - whether the delay is a sample of the prefill speed
   */
  endPrefill (ticket: number, isAnswered: boolean, mono: number): void {
    const request = this.pending.get(ticket)
    if (request === undefined) return
    this.pending.delete(ticket)
    this.pendingTokens -= request.tokens
    if (isAnswered && request.queuedTokens >= MIN_SAMPLE_TOKENS) this.recordSpeed(request.queuedTokens / Math.max(1, mono - request.sentAt))
  }

  /** Counts prompt tokens that a peer sent to the target. */
  recordPeerWork (tokens: number, mono: number): void {
    this.peerTokens = this.remainingPeerTokens(mono) + tokens
    this.peerTokensAt = mono
  }

  /** Records that shared parts were sent to the target. */
  recordCached (parts: string, mono: number): void {
    this.cached.delete(parts)
    this.cached.set(parts, mono)
    const oldest = this.cached.keys().next()
    if (this.cached.size > MAX_CACHE_ENTRIES && oldest.done !== true) this.cached.delete(oldest.value)
  }

  /** Whether the target is assumed to have shared parts in its cache. */
  hasCached (parts: string, mono: number): boolean {
    return mono - (this.cached.get(parts) ?? -Infinity) < CACHE_TTL_MS
  }

  private remainingPeerTokens (mono: number): number {
    return Math.max(0, this.peerTokens - (mono - this.peerTokensAt) * this.tokensPerMs)
  }

  private recordSpeed (sample: number): void {
    const bounded = Math.min(MAX_TOKENS_PER_MS, Math.max(MIN_TOKENS_PER_MS, sample))
    this.observedTokensPerMs = this.observedTokensPerMs === undefined ? bounded : this.observedTokensPerMs + SPEED_SAMPLE_WEIGHT * (bounded - this.observedTokensPerMs)
  }
}
