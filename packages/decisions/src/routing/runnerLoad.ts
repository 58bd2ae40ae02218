/**
 * Load of one runner as estimated by one VM: its local requests in flight, counted exactly, plus those
 * of other VMs from the runner's last report. The requests that the VM had in flight at report
 * time are subtracted from the report, so that none counts twice. The reported remote load loses
 * weight with age in favour of the mean of the fleet.
 */

/** Age up to which a report has full weight. */
const FRESH_MS = 1_000

/** Time constant of the exponential decay of an older report. */
const STALE_TAU_MS = 4_000

/**
 * Weight of a report with less remote load than estimated. All VMs see a freed slot at about the
 * same time; following it only in part keeps them from all filling it.
 */
const DECREASE_GAIN = 0.25

/** Changes of the local count that are stored, to look up its value at report time. */
const HISTORY_LENGTH = 64

/** Age after which a request without an `ended` event no longer counts. */
const MAX_REQUEST_AGE_MS = 3_600_000

/** A request of this VM in flight at the runner. */
export interface OpenRequest {
  readonly atMono: number
  /** Upper bound of prompt and answer together. */
  readonly tokens: number
  /** Upper bound of generated tokens, 0 when unknown. */
  readonly maxTokens: number
  /** Estimated prompt tokens that the runner has to compute. */
  readonly uncachedTokens: number
  /** Whether the runner was estimated to have a free slot at dispatch. */
  readonly hadFreeSlot: boolean
  firstTokenMs?: number
}

interface CountSample {
  readonly at: number
  readonly count: number
}

/** Times are monotonic milliseconds. */
export class RunnerLoad {
  private readonly open = new Map<string, OpenRequest>()
  private readonly awaitingFirstToken = new Map<string, number>()
  private history: CountSample[] = []
  private tokenSum = 0
  private reportAt = -Infinity
  private remoteAtReport = 0
  private localAtReport = 0
  private totalAtReport = 0

  get count (): number {
    return this.open.size
  }

  /** Upper bound of tokens in flight from this VM. */
  get tokens (): number {
    return this.tokenSum
  }

  /** Total load in the last report and the local load at that time; undefined before the first report. */
  get lastReport (): { readonly total: number, readonly local: number } | undefined {
    return this.reportAt === -Infinity ? undefined : { total: this.totalAtReport, local: this.localAtReport }
  }

  /** Age of the last report; undefined before the first. */
  reportAgeMs (mono: number): number | undefined {
    return this.reportAt === -Infinity ? undefined : Math.max(0, mono - this.reportAt)
  }

  dispatched (requestId: string, request: OpenRequest): void {
    this.ended(requestId, request.atMono)
    this.open.set(requestId, request)
    this.awaitingFirstToken.set(requestId, request.atMono)
    this.tokenSum += request.tokens
    this.recordCount(request.atMono)
  }

  firstToken (requestId: string, afterMs: number): OpenRequest | undefined {
    this.awaitingFirstToken.delete(requestId)
    const request = this.open.get(requestId)
    if (request !== undefined) request.firstTokenMs = afterMs
    return request
  }

  ended (requestId: string, mono: number): OpenRequest | undefined {
    const request = this.open.get(requestId)
    if (request === undefined) return undefined
    this.open.delete(requestId)
    this.awaitingFirstToken.delete(requestId)
    this.tokenSum -= request.tokens
    this.recordCount(mono)
    return request
  }

  /**
   * Applies a report, unless it is older than the last one.
   * @param total - requests running and waiting at the runner
   * @param at - time to which the report refers
   * @returns estimated load from other VMs, or undefined when the report is ignored
   */
  reported (total: number, at: number): number | undefined {
    if (at <= this.reportAt) return undefined
    this.reportAt = at
    this.totalAtReport = total
    this.localAtReport = this.localCountAt(at)
    const remote = Math.max(0, total - this.localAtReport)
    const gain = remote < this.remoteAtReport ? DECREASE_GAIN : 1
    this.remoteAtReport += gain * (remote - this.remoteAtReport)
    return this.remoteAtReport
  }

  /**
   * Estimated requests at the runner now, from all VMs.
   * @param mono - current time
   * @param defaultRemote - load from other VMs assumed without a recent report
   */
  estimate (mono: number, defaultRemote: number): number {
    this.expireOldest(mono)
    const weight = this.reportWeight(mono)
    return this.open.size + weight * this.remoteAtReport + (1 - weight) * defaultRemote
  }

  /** How long the oldest local request without a first token has been waiting for it. */
  oldestWaitMs (mono: number): number {
    const oldest = this.awaitingFirstToken.values().next()
    return oldest.done === true ? 0 : Math.max(0, mono - oldest.value)
  }

  /** Load certain enough to call the runner full: local requests, and reported remote ones weighted by freshness. */
  confirmedLoad (mono: number): number {
    return this.open.size + this.reportWeight(mono) * this.remoteAtReport
  }

  /** Whether the last report is recent enough to conclude that a slot is free. */
  isFresh (mono: number): boolean {
    return mono - this.reportAt <= FRESH_MS + STALE_TAU_MS / 2
  }

  private reportWeight (mono: number): number {
    const age = mono - this.reportAt
    return age <= FRESH_MS ? 1 : Math.exp((FRESH_MS - age) / STALE_TAU_MS)
  }

  private recordCount (at: number): void {
    this.history.push({ at, count: this.open.size })
    if (this.history.length > 2 * HISTORY_LENGTH) this.history = this.history.slice(-HISTORY_LENGTH)
  }

  private localCountAt (at: number): number {
    for (let i = this.history.length - 1; i >= 0; i--) {
      const sample = this.history[i]
      if (sample !== undefined && sample.at <= at) return sample.count
    }
    return this.history.length >= HISTORY_LENGTH ? this.open.size : 0
  }

  private expireOldest (mono: number): void {
    const oldest = this.open.entries().next()
    if (oldest.done === true) return
    const [requestId, request] = oldest.value
    if (mono - request.atMono > MAX_REQUEST_AGE_MS) this.ended(requestId, mono)
  }
}
