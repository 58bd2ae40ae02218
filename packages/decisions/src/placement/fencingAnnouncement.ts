/**
 * Announces a new lease holder's fencing number to every engine before its first placement order, so that a late
 * order of an earlier holder is refused also by engines that receive no other order. Where an engine ignores
 * fencing numbers, the holder waits until the earlier lease has expired by any clock.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { RunnerConfig } from '../config/configSchema.js'
import type { PlacementAction, PlacementLimits, PlacementOutcome } from './placementTypes.js'
import { ReportInterval } from './reportInterval.js'

/** Attempts per runner; an engine that does not understand the order is skipped after that. */
const MAX_ATTEMPTS = 5
const FINAL_OUTCOMES: readonly PlacementOutcome['kind'][] = ['done', 'oldFencing', 'refused']

/** A sent announcement and its state. */
interface SentAnnouncement {
  readonly action: PlacementAction
  readonly at: Instant
  readonly attempts: number
  isAnswered: boolean
}

/** Fencing announcements of one lease term. */
export class FencingAnnouncement {
  /** Acknowledged role by runner; an empty string where none is declared. */
  private readonly acknowledged = new Map<string, string>()
  private readonly sent = new Map<string, SentAnnouncement>()
  private isCompleted = false

  /**
   * @param fencing - the holder's fencing number
   * @param since - start of the lease term
   * @param reportInterval - extends the wait, as a runner can only acknowledge after its first report
   */
  constructor (
    readonly fencing: number, private readonly since: Instant, private readonly limits: PlacementLimits, private readonly reportInterval: ReportInterval = new ReportInterval()
  ) {}

  /**
   * Returns the announcements that are due, with the declared role where there is one.
   * @param runners - reachable runners
   * @param nextOrderId - creates a new order id for a runner
   */
  next (runners: readonly (readonly [string, RunnerConfig])[], now: Instant, nextOrderId: (runner: string) => string): readonly PlacementAction[] {
    const openCount = [...this.sent.values()].filter(({ isAnswered }) => !isAnswered).length
    const due = runners.filter(([runner, cfg]) => this.isDue(runner, cfg, now))
    return due.slice(0, Math.max(0, this.limits.maxPending - openCount)).map(([runner, cfg]) => {
      const previous = this.sent.get(runner)
      if (previous?.action.order.role !== cfg.role) this.sent.delete(runner)
      const entry = this.sent.get(runner) ?? { action: this.createAction(runner, cfg, nextOrderId(runner)), at: now, attempts: 0, isAnswered: false }
      this.sent.set(runner, { ...entry, at: now, attempts: entry.attempts + 1, isAnswered: false })
      return entry.action
    })
  }

  /**
   * Handles the outcome of an order.
   * @returns whether the order was an announcement of this term
   */
  answered (orderId: string, outcome: PlacementOutcome): boolean {
    for (const [runner, entry] of this.sent) {
      if (entry.action.order.orderId !== orderId) continue
      entry.isAnswered = true
      if (FINAL_OUTCOMES.includes(outcome.kind)) this.acknowledged.set(runner, entry.action.order.role ?? '')
      return true
    }
    return false
  }

  /**
   * Whether placement orders may be sent; once true it stays true for the rest of the term.
   * @param runners - reachable runners
   */
  isDone (runners: readonly (readonly [string, RunnerConfig])[], now: Instant): boolean {
    if (this.isCompleted) return true
    const waitedMs = elapsedMs(this.since, now)
    const mustAwaitExpiry = runners.some(([, { checksFencing }]) => !checksFencing) && waitedMs < this.limits.takeoverMs
    const isAllAcknowledged = runners.every(([runner, { checksFencing }]) => !checksFencing || this.acknowledged.has(runner))
    this.isCompleted = !mustAwaitExpiry && (isAllAcknowledged || waitedMs >= this.limits.fencingTimeoutMs + this.reportInterval.extraDelayMs(now))
    return this.isCompleted
  }

  private isDue (runner: string, { checksFencing, role }: RunnerConfig, now: Instant): boolean {
    if (!checksFencing && (role === undefined || elapsedMs(this.since, now) < this.limits.takeoverMs)) return false
    if (this.acknowledged.get(runner) === (role ?? '')) return false
    const previous = this.sent.get(runner)
    if (previous === undefined || previous.action.order.role !== role) return true
    return previous.isAnswered && previous.attempts < MAX_ATTEMPTS && elapsedMs(previous.at, now) >= this.limits.retryMs
  }

  private createAction (runner: string, { address, role }: RunnerConfig, orderId: string): PlacementAction {
    const order = { orderId, fencing: this.fencing, kind: 'role', model: '', version: '', ...(role === undefined ? {} : { role }) } as const
    return { kind: 'order', runner, address, order, reason: role === undefined ? 'announces the fencing number' : `role ${role} is declared` }
  }
}
