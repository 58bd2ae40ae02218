/**
 * Counts of one simulated run. Requests that arrive during the warm-up are left out.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { SimRequest } from './routingWorkload.js'

/** Counts of one run. */
export class RoutingStatistics {
  private offeredCount = 0
  private lateCount = 0
  private refusedCount = 0
  private falseCount = 0
  private worth = 0
  private routedCount = 0
  private sealedCount = 0
  private readonly firstTokens: Histogram = build()
  private readonly gaps: Histogram = build()

  constructor (private readonly fromMs: number, private readonly toMs: number) {}

  offered (req: SimRequest): void {
    if (this.counts(req)) this.offeredCount += 1
  }

  /**
   * Counts a whole answer; its worth counts when it is given, so that work left over does not flatter.
   * @param req - the request
   * @param at - when its last token came
   */
  answered (req: SimRequest, at: number): void {
    if (at >= this.fromMs && at < this.toMs) this.worth += req.worth
  }

  late (req: SimRequest): void {
    if (this.counts(req)) this.lateCount += 1
  }

  /**
   * Counts a refusal.
   * @param req - the request
   * @param servable - whether some engine had a free slot and would have answered in time
   */
  refused (req: SimRequest, servable: boolean): void {
    if (!this.counts(req)) return
    this.refusedCount += 1
    if (servable) this.falseCount += 1
  }

  routed (sealed: number): void {
    this.routedCount += 1
    this.sealedCount += sealed
  }

  firstToken (req: SimRequest, at: number): void {
    if (this.counts(req)) this.firstTokens.recordValue(Math.round(at - req.at))
  }

  nextToken (req: SimRequest, gapMs: number): void {
    if (this.counts(req)) this.gaps.recordValue(Math.round(gapMs))
  }

  /** Worth of answers in time for each second. */
  get goodput (): number {
    return this.worth * 1_000 / (this.toMs - this.fromMs)
  }

  get sealsPerRequest (): number {
    return this.sealedCount / Math.max(1, this.routedCount)
  }

  share (kind: 'late' | 'refused' | 'false'): number {
    const count = { late: this.lateCount, refused: this.refusedCount, false: this.falseCount }[kind]
    return 100 * count / Math.max(1, this.offeredCount)
  }

  firstTokenMs (percentile: number): number {
    return this.firstTokens.getValueAtPercentile(percentile)
  }

  gapMs (percentile: number): number {
    return this.gaps.getValueAtPercentile(percentile)
  }

  private counts (req: SimRequest): boolean {
    return req.at >= this.fromMs && req.at < this.toMs
  }
}
