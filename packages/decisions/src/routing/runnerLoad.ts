/**
 * Load of one runner as one VM can know it: its own requests in flight, exactly, and everyone
 * else's from the runner's report. A report describes the past: what the VM itself had in flight
 * at that time is subtracted, so own dispatches since then count once and old ones not twice.
 * What the report says of the others loses weight with age in favour of the mean of the fleet.
 */

/** Age up to which a report has full weight, in milliseconds. */
const FRESH_MS = 1_000

/** Time constant by which an older report loses weight, in milliseconds. */
const STALE_TAU_MS = 4_000

/**
 * Weight of a report that tells of fewer requests of others than believed. Every VM sees a freed
 * slot at about the same time; believing it only in part keeps them from all filling it.
 */
const FREED_GAIN = 0.25

/** Changes of the own count that are remembered, to look up its value at the time of a report. */
const HISTORY = 64

/** Milliseconds after which a request whose end was never told no longer counts. */
const FORGET_MS = 3_600_000

/** One own request in flight at the runner. */
export interface OpenRequest {
  readonly atMono: number
  /** Worst case of prompt and answer together. */
  readonly tokens: number
  /** Upper bound of generated tokens, 0 when not known. */
  readonly maxTokens: number
  /** Prompt tokens that the runner had to compute, by the router's belief. */
  readonly uncachedTokens: number
  /** Whether the runner had a free slot by the router's belief. */
  readonly unqueued: boolean
  firstTokenMs?: number
}

interface Sample {
  readonly at: number
  readonly count: number
}

/** Load of one runner. Times are monotonic milliseconds. */
export class RunnerLoad {
  private readonly open = new Map<string, OpenRequest>()
  private readonly awaiting = new Map<string, number>()
  private history: Sample[] = []
  private tokenSum = 0
  private reportAt = -Infinity
  private othersAtReport = 0
  private ownAtReport = 0
  private totalAtReport = 0

  get count (): number {
    return this.open.size
  }

  /** Worst case of tokens in flight from this VM. */
  get tokens (): number {
    return this.tokenSum
  }

  /** What the last report said of all, and the own requests at that time; undefined before the first report. */
  get lastReport (): { readonly total: number, readonly own: number } | undefined {
    return this.reportAt === -Infinity ? undefined : { total: this.totalAtReport, own: this.ownAtReport }
  }

  /**
   * Milliseconds since what the last report tells held; undefined before the first report.
   * @param mono - present time
   */
  reportAgeMs (mono: number): number | undefined {
    return this.reportAt === -Infinity ? undefined : Math.max(0, mono - this.reportAt)
  }

  dispatched (requestId: string, request: OpenRequest): void {
    this.ended(requestId, request.atMono)
    this.open.set(requestId, request)
    this.awaiting.set(requestId, request.atMono)
    this.tokenSum += request.tokens
    this.remember(request.atMono)
  }

  firstToken (requestId: string, afterMs: number): OpenRequest | undefined {
    this.awaiting.delete(requestId)
    const request = this.open.get(requestId)
    if (request !== undefined) request.firstTokenMs = afterMs
    return request
  }

  ended (requestId: string, mono: number): OpenRequest | undefined {
    const request = this.open.get(requestId)
    if (request === undefined) return undefined
    this.open.delete(requestId)
    this.awaiting.delete(requestId)
    this.tokenSum -= request.tokens
    this.remember(mono)
    return request
  }

  /**
   * Takes a report; one older than the last is ignored.
   * @param total - requests running and waiting at the runner
   * @param at - when that held
   * @returns requests of others then, or undefined when ignored
   */
  reported (total: number, at: number): number | undefined {
    if (at <= this.reportAt) return undefined
    this.reportAt = at
    this.totalAtReport = total
    this.ownAtReport = this.ownAt(at)
    const others = Math.max(0, total - this.ownAtReport)
    const gain = others < this.othersAtReport ? FREED_GAIN : 1
    this.othersAtReport += gain * (others - this.othersAtReport)
    return this.othersAtReport
  }

  /**
   * Requests at the runner now, own and others'.
   * @param mono - present time
   * @param prior - what others are assumed to have there when nothing is known
   */
  estimate (mono: number, prior: number): number {
    this.forget(mono)
    const weight = this.reportWeight(mono)
    return this.open.size + weight * this.othersAtReport + (1 - weight) * prior
  }

  /**
   * How long the longest-waiting own request has been without its first token.
   * @param mono - present time
   */
  oldestWaitMs (mono: number): number {
    const oldest = this.awaiting.values().next()
    return oldest.done === true ? 0 : Math.max(0, mono - oldest.value)
  }

  /**
   * Requests at the runner that are sure enough to call it full: own ones, and others' as far as the report is fresh.
   * @param mono - present time
   */
  known (mono: number): number {
    return this.open.size + this.reportWeight(mono) * this.othersAtReport
  }

  /**
   * Whether the last report is recent enough to tell that a slot is free.
   * @param mono - present time
   */
  isFresh (mono: number): boolean {
    return mono - this.reportAt <= FRESH_MS + STALE_TAU_MS / 2
  }

  private reportWeight (mono: number): number {
    const age = mono - this.reportAt
    return age <= FRESH_MS ? 1 : Math.exp((FRESH_MS - age) / STALE_TAU_MS)
  }

  private remember (at: number): void {
    this.history.push({ at, count: this.open.size })
    if (this.history.length > 2 * HISTORY) this.history = this.history.slice(-HISTORY)
  }

  private ownAt (at: number): number {
    for (let i = this.history.length - 1; i >= 0; i--) {
      const sample = this.history[i]
      if (sample !== undefined && sample.at <= at) return sample.count
    }
    return this.history.length >= HISTORY ? this.open.size : 0
  }

  private forget (mono: number): void {
    const oldest = this.open.entries().next()
    if (oldest.done === true) return
    const [requestId, request] = oldest.value
    if (mono - request.atMono > FORGET_MS) this.ended(requestId, mono)
  }
}
