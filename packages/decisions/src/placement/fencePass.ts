/**
 * Announces a new lease holder's fencing number to every engine before its first placement order, so that a late
 * order of an earlier holder is refused also by engines that receive no other order. Where an engine ignores
 * fencing numbers, the holder waits until the earlier lease has expired by any clock.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { RunnerConfig } from '../config/configSchema.js'
import type { PlacementAction, PlacementLimits, PlacementOutcome } from './placementTypes.js'
import { ReportPace } from './reportPace.js'

/** Attempts per runner; an engine that does not understand the order is skipped after that. */
const MOST_TRIES = 5
const FINAL_OUTCOMES: readonly PlacementOutcome['kind'][] = ['done', 'oldFencing', 'refused']

/** A sent announcement and its state. */
interface SentFence {
  readonly action: PlacementAction
  readonly at: Instant
  readonly tries: number
  isAnswered: boolean
}

/** Fencing announcements of one lease term. */
export class FencePass {
  /** Acknowledged role by runner; an empty string where none is declared. */
  private readonly told = new Map<string, string>()
  private readonly sent = new Map<string, SentFence>()
  private isOver = false

  /**
   * @param fencing - the holder's fencing number
   * @param since - start of the lease term
   * @param reportInterval - extends the wait, as a runner can only acknowledge after its first report
   */
  constructor (
    readonly fencing: number, private readonly since: Instant, private readonly limits: PlacementLimits, private readonly pace: ReportPace = new ReportPace()
  ) {}

  /**
   * Returns the announcements that are due, with the declared role where there is one.
   * @param runners - reachable runners
   * @param nextOrderId - creates a new order id for a runner
   */
  next (runners: readonly (readonly [string, RunnerConfig])[], now: Instant, idOf: (runner: string) => string): readonly PlacementAction[] {
    const open = [...this.sent.values()].filter(({ isAnswered }) => !isAnswered).length
    const due = runners.filter(([runner, cfg]) => this.isDue(runner, cfg, now))
    return due.slice(0, Math.max(0, this.limits.maxOutstanding - open)).map(([runner, cfg]) => {
      const found = this.sent.get(runner)
      if (found?.action.order.role !== cfg.role) this.sent.delete(runner)
      const entry = this.sent.get(runner) ?? { action: this.actionOf(runner, cfg, idOf(runner)), at: now, tries: 0, isAnswered: false }
      this.sent.set(runner, { ...entry, at: now, tries: entry.tries + 1, isAnswered: false })
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
      if (FINAL_OUTCOMES.includes(outcome.kind)) this.told.set(runner, entry.action.order.role ?? '')
      return true
    }
    return false
  }

  /**
   * Whether placement orders may be sent; once true it stays true for the rest of the term.
   * @param runners - reachable runners
   */
  isDone (runners: readonly (readonly [string, RunnerConfig])[], now: Instant): boolean {
    if (this.isOver) return true
    const passedMs = elapsedMs(this.since, now)
    const isWaiting = runners.some(([, { checksFencing }]) => !checksFencing) && passedMs < this.limits.takeoverMs
    const allTold = runners.every(([runner, { checksFencing }]) => !checksFencing || this.told.has(runner))
    this.isOver = !isWaiting && (allTold || passedMs >= this.limits.fencingMs + this.pace.stretchMs(now))
    return this.isOver
  }

  private isDue (runner: string, { checksFencing, role }: RunnerConfig, now: Instant): boolean {
    if (!checksFencing && (role === undefined || elapsedMs(this.since, now) < this.limits.takeoverMs)) return false
    if (this.told.get(runner) === (role ?? '')) return false
    const found = this.sent.get(runner)
    if (found === undefined || found.action.order.role !== role) return true
    return found.isAnswered && found.tries < MOST_TRIES && elapsedMs(found.at, now) >= this.limits.retryMs
  }

  private actionOf (runner: string, { address, role }: RunnerConfig, orderId: string): PlacementAction {
    const order = { orderId, fencing: this.fencing, kind: 'role', model: '', version: '', ...(role === undefined ? {} : { role }) } as const
    return { kind: 'order', runner, address, order, reason: role === undefined ? 'announces the fencing number' : `role ${role} is declared` }
  }
}
