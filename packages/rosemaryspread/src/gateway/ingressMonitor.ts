/**
 * Detects overload at the ingress of a VM. Node accepts one new connection in each turn of the event loop,
 * so about as many accepted connections as turns mean that further ones wait in the listen backlog, whose
 * length a process cannot read.
 */
import { performance } from 'node:perf_hooks'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { VmLoad } from '@rosemaryspread/decisions/load/loadTypes.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import { UnreadTime } from './unreadTime.js'

/** Length of a measurement window, and so the minimum interval between two log lines. */
const WINDOW_MS = 1_000
/** Interval between two ticks from which the event loop counts as blocked. */
const BLOCKED_LOOP_MS = 600
/** Accepted connections per turn from which further ones are assumed to wait. */
const BACKLOG_RATIO = 0.5
/** With fewer accepted connections a window says nothing about a backlog. */
const MIN_ACCEPTED = 20

/** Time over which the busy ratio is measured. */
const BUSY_SPAN_MS = 300

/** Share of busy time of the event loop from which the VM counts as overloaded. */
const BUSY_RATIO = 0.9
/** Consecutive windows without overload before the VM advertises capacity again. */
const STABLE_WINDOWS = 3

export interface IngressMonitorDeps {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  /** Whether this VM reports itself ready. */
  isReady (): boolean
  /** Turns of the event loop so far. */
  turns (): number
  /** Milliseconds for which the event loop was busy so far. */
  busyMs (): number
}

/** Counters of one measurement window. */
interface IngressWindow {
  readonly startedAt: number
  readonly turnsBefore: number
  readonly busyBeforeMs: number
  taken: number
  dropped: number
  unused: number
  requests: number
  longestMs: number
}

/** Busy time of the event loop at one tick. */
interface BusySample {
  readonly mono: number
  readonly busyMs: number
}

/** Turns of the event loop of this process so far. */
export function loopTurns (): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount
}

/** Milliseconds for which the event loop of this process was busy so far. */
export function loopBusyMs (): number {
  return performance.eventLoopUtilization().active
}

export class IngressMonitor implements VmLoad {
  private open = 0
  private lastTickAt: number
  private currentWindow: IngressWindow
  private previousWindow: IngressWindow
  /** Samples of the latest ticks, oldest first. */
  private readonly busySamples: BusySample[] = []
  private stableWindows = STABLE_WINDOWS
  private readonly unreadTime: UnreadTime

  constructor (private readonly deps: IngressMonitorDeps) {
    this.lastTickAt = deps.clock.now().mono
    this.currentWindow = this.startWindow()
    this.previousWindow = this.currentWindow
    this.unreadTime = new UnreadTime(() => ({ turns: deps.turns(), busyMs: deps.busyMs() }))
    deps.metrics.gauge('front_connections_open', () => this.open)
    deps.metrics.gauge('loop_turns', () => deps.turns())
    deps.metrics.gauge('loop_longest_ms', () => Math.max(this.currentWindow.longestMs, this.previousWindow.longestMs))
  }

  /** Open connections of callers. */
  get openConnections (): number {
    return this.open
  }

  /** Whether callers should prefer other VMs. Clears only after several windows without overload, so that callers do not oscillate between VMs. */
  get isPressed (): boolean {
    return this.stableWindows < STABLE_WINDOWS
  }

  /** Share of the latest ticks for which the event loop was busy; 0 before the second tick. */
  get busyRatio (): number {
    const first = this.busySamples[0]
    const last = this.busySamples.at(-1)
    if (first === undefined || last === undefined || last.mono === first.mono) return 0
    return Math.min(1, Math.max(0, (last.busyMs - first.busyMs) / (last.mono - first.mono)))
  }

  /** Milliseconds for which a request that is read now may have lain unread, at most. */
  readUnreadMs (): number {
    return this.unreadTime.read()
  }

  /** Counts an accepted connection; returns the function to call when it closes, with whether it carried a request. */
  taken (): (isUsed: boolean) => void {
    this.open += 1
    this.currentWindow.taken += 1
    this.deps.metrics.count('front_connections_taken')
    return isUsed => {
      this.open -= 1
      if (isUsed) return
      this.currentWindow.unused += 1
      this.deps.metrics.count('front_connections_unused')
    }
  }

  /** Counts the connection to another VM over which one of a caller is forwarded; returns the function to call when it closes. */
  joined (): () => void {
    this.open += 1
    return () => { this.open -= 1 }
  }

  /** Counts a connection that was closed at once, as the limit of open connections is reached. */
  dropped (): void {
    this.currentWindow.dropped += 1
    this.deps.metrics.count('front_connections_dropped')
  }

  /** Counts a request whose headers were read. */
  requested (): void {
    this.currentWindow.requests += 1
  }

  /** To be called at a steady interval: a longer gap between two calls means that the event loop was blocked. */
  tick (): void {
    const { mono } = this.deps.clock.now()
    this.currentWindow.longestMs = Math.max(this.currentWindow.longestMs, mono - this.lastTickAt)
    this.lastTickAt = mono
    this.unreadTime.tick()
    this.sampleBusy(mono)
    if (mono - this.currentWindow.startedAt < WINDOW_MS) return
    this.report(mono)
    this.previousWindow = this.currentWindow
    this.currentWindow = this.startWindow()
  }

  private sampleBusy (mono: number): void {
    const samples = this.busySamples
    samples.push({ mono, busyMs: this.deps.busyMs() })
    while ((samples[1]?.mono ?? Infinity) <= mono - BUSY_SPAN_MS) samples.shift()
  }

  private report (mono: number): void {
    const { taken, dropped, unused, requests, longestMs, startedAt, turnsBefore, busyBeforeMs } = this.currentWindow
    const turns = this.deps.turns() - turnsBefore
    const spanMs = Math.round(mono - startedAt)
    const hasBacklog = (taken >= MIN_ACCEPTED && taken >= turns * BACKLOG_RATIO) || dropped > 0
    const isBlocked = longestMs >= BLOCKED_LOOP_MS
    const isBusy = this.deps.busyMs() - busyBeforeMs >= spanMs * BUSY_RATIO
    this.stableWindows = hasBacklog || isBlocked || isBusy ? 0 : this.stableWindows + 1
    if (!hasBacklog && !isBlocked) return
    this.deps.log.write('frontPressed', {
      spanMs, taken, dropped, unused, requests, turns, longestMs: Math.round(longestMs), open: this.open, isReady: this.deps.isReady()
    })
  }

  private startWindow (): IngressWindow {
    const { deps } = this
    return { startedAt: deps.clock.now().mono, turnsBefore: deps.turns(), busyBeforeMs: deps.busyMs(), taken: 0, dropped: 0, unused: 0, requests: 0, longestMs: 0 }
  }
}
