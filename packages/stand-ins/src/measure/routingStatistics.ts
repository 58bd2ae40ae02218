/**
 * Statistics of one simulated run, without the requests that arrive during the warm-up.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { SimRequest } from './routingWorkload.js'

export class RoutingStatistics {
  private offeredCount = 0
  private lateCount = 0
  private refusedCount = 0
  private falseRefusalCount = 0
  private servedValue = 0
  private routedCount = 0
  private sealedCount = 0
  private readonly firstTokens: Histogram = build()
  private readonly tokenGaps: Histogram = build()

  constructor (private readonly fromMs: number, private readonly toMs: number) {}

  offered (req: SimRequest): void {
    if (this.isMeasured(req)) this.offeredCount += 1
  }

  /**
   * Counts a complete answer. Its value counts at the time of completion, so that answers after the end of arrivals do not add to
   * the goodput.
   * @param at - time of the last token
   */
  answered (req: SimRequest, at: number): void {
    if (at >= this.fromMs && at < this.toMs) this.servedValue += req.value
  }

  /** Counts a request that was accepted but not answered by its deadline. */
  late (req: SimRequest): void {
    if (this.isMeasured(req)) this.lateCount += 1
  }

  /**
   * Counts a refusal.
   * @param isServable - whether an engine had a free slot and would have met the deadline
   */
  refused (req: SimRequest, isServable: boolean): void {
    if (!this.isMeasured(req)) return
    this.refusedCount += 1
    if (isServable) this.falseRefusalCount += 1
  }

  /** @param sealed - number of runners to seal before the dispatch */
  routed (sealed: number): void {
    this.routedCount += 1
    this.sealedCount += sealed
  }

  firstToken (req: SimRequest, at: number): void {
    if (this.isMeasured(req)) this.firstTokens.recordValue(Math.round(at - req.at))
  }

  nextToken (req: SimRequest, gapMs: number): void {
    if (this.isMeasured(req)) this.tokenGaps.recordValue(Math.round(gapMs))
  }

  /** Total value per second of the answers that met their deadline. */
  get goodput (): number {
    return this.servedValue * 1_000 / (this.toMs - this.fromMs)
  }

  get sealsPerRequest (): number {
    return this.sealedCount / Math.max(1, this.routedCount)
  }

  /** Percentage of the offered requests, 0 to 100. */
  share (kind: 'late' | 'refused' | 'false'): number {
    const count = { late: this.lateCount, refused: this.refusedCount, false: this.falseRefusalCount }[kind]
    return 100 * count / Math.max(1, this.offeredCount)
  }

  firstTokenPercentileMs (percentile: number): number {
    return this.firstTokens.getValueAtPercentile(percentile)
  }

  tokenGapPercentileMs (percentile: number): number {
    return this.tokenGaps.getValueAtPercentile(percentile)
  }

  private isMeasured (req: SimRequest): boolean {
    return req.at >= this.fromMs && req.at < this.toMs
  }
}
