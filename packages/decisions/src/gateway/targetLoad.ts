/**
 * Estimates the prompt work of one target: tokens still to prefill, its prefill speed, and the shared prompt parts in its cache. A
 * VM counts its own requests exactly; peers report their large prompts, which are assumed to be processed at the observed speed.
 */

/** Speed assumed until one is observed; the slowest pools prefill about 40 tokens per millisecond. */
const FIRST_SPEED = 40
/** Bounds of an observed speed; values outside them do not come from prefill. */
const LEAST_SPEED = 2
const MOST_SPEED = 1_000
/** Weight of a new sample in the moving average: one slow response does not make a target slow, a handful does. */
const SPEED_WEIGHT = 0.2
/** Samples with fewer tokens are ignored: their delay reflects the network and engine steps, not prefill. */
const LEAST_OBSERVED = 2_000
/** Time for which a target is assumed to cache shared parts sent to it. */
const CACHED_MS = 8_000
/** Most cache entries remembered per target. */
const MOST_REMEMBERED = 2_000

/** A request that waits for its first event. */
interface PendingWork {
  readonly tokens: number
  /** Tokens to prefill before its first event, including those of other requests. */
  readonly ahead: number
  readonly sentAt: number
}

/** Load of one target. Times are monotonic milliseconds, work is in prompt tokens. */
export class TargetLoad {
  private readonly pending = new Map<number, PendingWork>()
  private pendingTokens = 0
  /** Unprocessed tokens reported by peers, as of `peerTokensAt`. */
  private others = 0
  private othersAt = 0
  private speed: number | undefined
  private nextTicket = 0
  /** When shared parts were last sent to the target, by their key; oldest first. */
  private readonly cached = new Map<string, number>()

  /** Prefill speed. */
  get tokensPerMs (): number {
    return this.speed ?? FIRST_SPEED
  }

  /** Tokens to prefill before those of a new request. */
  ahead (mono: number): number {
    return this.pendingTokens + this.othersLeft(mono)
  }

  /**
   * Counts a request sent by this VM.
   * @param tokens - prompt tokens to prefill for it
   * @returns ticket for `endPrefill`
   */
  sent (tokens: number, mono: number): number {
    this.nextTicket += 1
    this.pending.set(this.nextTicket, { tokens, ahead: this.ahead(mono) + tokens, sentAt: mono })
    this.pendingTokens += tokens
    return this.nextTicket
  }

  /**
   * Handles the first event of a request, or its end without one.
   * @param isAnswered - whether the delay is a sample of the prefill speed
   */
  begun (ticket: number, isAnswered: boolean, mono: number): void {
    const work = this.pending.get(ticket)
    if (work === undefined) return
    this.pending.delete(ticket)
    this.pendingTokens -= work.tokens
    if (isAnswered && work.ahead >= LEAST_OBSERVED) this.observe(work.ahead / Math.max(1, mono - work.sentAt))
  }

  /** Counts prompt tokens that a peer sent to the target. */
  told (tokens: number, mono: number): void {
    this.others = this.othersLeft(mono) + tokens
    this.othersAt = mono
  }

  /** Records that shared parts were sent to the target. */
  remember (parts: string, mono: number): void {
    this.cached.delete(parts)
    this.cached.set(parts, mono)
    const oldest = this.cached.keys().next()
    if (this.cached.size > MOST_REMEMBERED && oldest.done !== true) this.cached.delete(oldest.value)
  }

  /** Whether the target is assumed to have shared parts in its cache. */
  keeps (parts: string, mono: number): boolean {
    return mono - (this.cached.get(parts) ?? -Infinity) < CACHED_MS
  }

  private othersLeft (mono: number): number {
    return Math.max(0, this.others - (mono - this.othersAt) * this.tokensPerMs)
  }

  private observe (sample: number): void {
    const bounded = Math.min(MOST_SPEED, Math.max(LEAST_SPEED, sample))
    this.speed = this.speed === undefined ? bounded : this.speed + SPEED_WEIGHT * (bounded - this.speed)
  }
}
