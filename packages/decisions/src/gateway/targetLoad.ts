/**
 * What is known of the work of one target: prompt tokens that it has still to read, how fast it reads,
 * and which shared parts it was sent. A VM counts its own requests exactly and learns of large prompts
 * that other VMs sent; those are taken to be read at the speed that was observed.
 */

/** Tokens a millisecond before anything was observed: the slowest pools read about 40. */
const FIRST_SPEED = 40
/** Bounds of a speed that is believed; outside of them something else was measured. */
const LEAST_SPEED = 2
const MOST_SPEED = 1_000
/** Weight of a new observation: one slow answer is no slow target, a handful is. */
const SPEED_WEIGHT = 0.2
/** Tokens read for an answer below which its delay tells of the network and of steps, not of reading. */
const LEAST_OBSERVED = 2_000
/** Milliseconds for which a target is believed to keep shared parts that it was sent. */
const CACHED_MS = 8_000
/** Shared parts remembered for one target. */
const MOST_REMEMBERED = 2_000

/** A request on its way to its first event. */
interface PendingWork {
  readonly tokens: number
  /** Tokens to be read before its first event, those of others included. */
  readonly ahead: number
  readonly sentAt: number
}

/** Load of one target. Times are monotonic milliseconds, work is in prompt tokens. */
export class TargetLoad {
  private readonly pending = new Map<number, PendingWork>()
  private pendingTokens = 0
  /** Work that other VMs told of, as it was at `othersAt`. */
  private others = 0
  private othersAt = 0
  private speed: number | undefined
  private nextTicket = 0
  /** Shared parts sent there, and when. */
  private readonly cached = new Map<string, number>()

  /** Tokens a millisecond that the target reads. */
  get tokensPerMs (): number {
    return this.speed ?? FIRST_SPEED
  }

  /**
   * Tokens that are read there before those of a new request.
   * @param mono - present time
   */
  ahead (mono: number): number {
    return this.pendingTokens + this.othersLeft(mono)
  }

  /**
   * Counts a request sent by this VM.
   * @param tokens - prompt tokens that the target has to read for it
   * @param mono - present time
   * @returns what names the request on {@link begun}
   */
  sent (tokens: number, mono: number): number {
    this.nextTicket += 1
    this.pending.set(this.nextTicket, { tokens, ahead: this.ahead(mono) + tokens, sentAt: mono })
    this.pendingTokens += tokens
    return this.nextTicket
  }

  /**
   * The first event of a request came, or the request ended without one.
   * @param ticket - what {@link sent} answered
   * @param isAnswered - whether the delay tells how fast the target reads
   * @param mono - present time
   */
  begun (ticket: number, isAnswered: boolean, mono: number): void {
    const work = this.pending.get(ticket)
    if (work === undefined) return
    this.pending.delete(ticket)
    this.pendingTokens -= work.tokens
    if (isAnswered && work.ahead >= LEAST_OBSERVED) this.observe(work.ahead / Math.max(1, mono - work.sentAt))
  }

  /**
   * Counts work that another VM sent there.
   * @param tokens - prompt tokens
   * @param mono - present time
   */
  told (tokens: number, mono: number): void {
    this.others = this.othersLeft(mono) + tokens
    this.othersAt = mono
  }

  /**
   * Notes that shared parts were sent there.
   * @param parts - names the parts
   * @param mono - present time
   */
  remember (parts: string, mono: number): void {
    this.cached.delete(parts)
    this.cached.set(parts, mono)
    const oldest = this.cached.keys().next()
    if (this.cached.size > MOST_REMEMBERED && oldest.done !== true) this.cached.delete(oldest.value)
  }

  /**
   * Whether shared parts are believed to be in the target's memory.
   * @param parts - names the parts
   * @param mono - present time
   */
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
