/**
 * Counts what the front of a VM takes beside the turns of its event loop. Node takes one new connection in each turn,
 * so as many connections taken as turns made say that others wait, which nothing else of a process tells.
 */
import { performance } from 'node:perf_hooks'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { Metrics } from '../metrics/metricsTypes.js'

/** Milliseconds that are looked at together, and so between two lines of the log at least. */
const SPAN_MS = 1_000
/** Milliseconds between two ticks beyond which the event loop was held up. */
const HELD_UP_MS = 600
/** Part of the turns with a new connection from which on others are taken to wait. */
const PRESSED_PART = 0.5
/** Connections below which a span says nothing of others that wait. */
const LEAST_TAKEN = 20

/** Part of a span in which the event loop was busy from which on this VM has more to do than it can. */
const BUSY_PART = 0.9
/** Spans in a row without pressure after which it has room again. */
const CALM_SPANS = 3

/** What the watch is composed of. */
export interface FrontWatchDeps {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  /** Whether this VM says that it is ready. */
  isReady (): boolean
  /** Turns that the event loop has made. */
  turns (): number
  /** Milliseconds for which the event loop was busy. */
  busyMs (): number
}

/** One span. */
interface FrontSpan {
  readonly startedAt: number
  readonly turnsBefore: number
  readonly busyBeforeMs: number
  taken: number
  dropped: number
  unused: number
  requests: number
  longestMs: number
}

/** Turns that the event loop of this process has made. */
export function loopTurns (): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount
}

/** Milliseconds for which the event loop of this process was busy. */
export function loopBusyMs (): number {
  return performance.eventLoopUtilization().active
}

/** Watches the front of one VM. */
export class FrontWatch {
  private open = 0
  private tickedAt: number
  private span: FrontSpan
  private last: FrontSpan
  private calmSpans = CALM_SPANS

  constructor (private readonly deps: FrontWatchDeps) {
    this.tickedAt = deps.clock.now().mono
    this.span = this.begin()
    this.last = this.span
    deps.metrics.gauge('front_connections_open', () => this.open)
    deps.metrics.gauge('loop_turns', () => deps.turns())
    deps.metrics.gauge('loop_longest_ms', () => Math.max(this.span.longestMs, this.last.longestMs))
  }

  /** Connections of callers that are open. */
  get openConnections (): number {
    return this.open
  }

  /** Whether callers had better go to other VMs. Some spans without pressure are awaited, so that they do not come and go with each. */
  get isPressed (): boolean {
    return this.calmSpans < CALM_SPANS
  }

  /** A connection was taken; answers what to call when it closes, with whether any request came on it. */
  taken (): (isUsed: boolean) => void {
    this.open += 1
    this.span.taken += 1
    this.deps.metrics.count('front_connections_taken')
    return isUsed => {
      this.open -= 1
      if (isUsed) return
      this.span.unused += 1
      this.deps.metrics.count('front_connections_unused')
    }
  }

  /** A connection was closed at once, as this VM has as many as it may. */
  dropped (): void {
    this.span.dropped += 1
    this.deps.metrics.count('front_connections_dropped')
  }

  /** The headers of a request were read. */
  requested (): void {
    this.span.requests += 1
  }

  /** To be called at a steady pace: what is longer between two calls held the event loop up. */
  tick (): void {
    const { mono } = this.deps.clock.now()
    this.span.longestMs = Math.max(this.span.longestMs, mono - this.tickedAt)
    this.tickedAt = mono
    if (mono - this.span.startedAt < SPAN_MS) return
    this.report(mono)
    this.last = this.span
    this.span = this.begin()
  }

  private report (mono: number): void {
    const { taken, dropped, unused, requests, longestMs, startedAt, turnsBefore, busyBeforeMs } = this.span
    const turns = this.deps.turns() - turnsBefore
    const spanMs = Math.round(mono - startedAt)
    const isCrowded = (taken >= LEAST_TAKEN && taken >= turns * PRESSED_PART) || dropped > 0
    const isHeldUp = longestMs >= HELD_UP_MS
    const isBusy = this.deps.busyMs() - busyBeforeMs >= spanMs * BUSY_PART
    this.calmSpans = isCrowded || isHeldUp || isBusy ? 0 : this.calmSpans + 1
    if (!isCrowded && !isHeldUp) return
    this.deps.log.write('frontPressed', {
      spanMs, taken, dropped, unused, requests, turns, longestMs: Math.round(longestMs), open: this.open, isReady: this.deps.isReady()
    })
  }

  private begin (): FrontSpan {
    const { deps } = this
    return { startedAt: deps.clock.now().mono, turnsBefore: deps.turns(), busyBeforeMs: deps.busyMs(), taken: 0, dropped: 0, unused: 0, requests: 0, longestMs: 0 }
  }
}
