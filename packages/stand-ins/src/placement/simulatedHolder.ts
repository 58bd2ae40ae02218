/**
 * One VM that may hold the placement lease, in virtual time. It polls reports and sends orders only while its lease is
 * valid by its own clock, and may be frozen with orders in transit.
 */
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { FleetConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { PlacementAction, PlacementDecider, PlacementEvent } from '@rosemaryspread/decisions/placement/placementTypes.js'
import type { PlacementHarness } from './placementHarness.js'

const TICK_INTERVAL_MS = 1_000
/** One-way latency of a call. */
const LATENCY_MS = 5
/** Timeout of a call without an answer. */
const CALL_TIMEOUT_MS = 2_000

export interface SimulatedHolderOptions {
  /** Whether it checks before each order that its lease is still valid; a faulty holder checks only on acquisition. */
  readonly checksLease: boolean
}

export class SimulatedHolder {
  isFrozen = false
  /** Fencing number of the lease that it believes it holds. */
  fencing: number | undefined
  validUntil = 0
  private nextTickAt = 0
  private currentConfig: FleetConfig | undefined

  constructor (private readonly harness: PlacementHarness, readonly planner: PlacementDecider, private readonly options: SimulatedHolderOptions) {}

  mayAct (): boolean {
    if (this.isFrozen || this.fencing === undefined) return false
    return !this.options.checksLease || this.harness.now < this.validUntil
  }

  dispatchEvent (event: PlacementEvent): void {
    const { now } = this.harness
    const at: Instant = { mono: now, wall: now }
    for (const action of this.planner.handle(event, at)) this.send(action)
  }

  step (): void {
    if (this.isFrozen || this.harness.now < this.nextTickAt) return
    this.nextTickAt = this.harness.now + TICK_INTERVAL_MS
    this.updateConfig()
    if (this.fencing !== undefined && !this.mayAct()) {
      this.fencing = undefined
      this.dispatchEvent({ kind: 'lost' })
    }
    if (!this.mayAct()) return
    for (const runner of this.harness.engines.keys()) this.poll(runner)
    this.dispatchEvent({ kind: 'tick' })
  }

  private updateConfig (): void {
    const { config } = this.harness
    if (config === this.currentConfig) return
    this.currentConfig = config
    this.dispatchEvent({ kind: 'configured', config })
  }

  private poll (runner: string): void {
    const { harness: simulation } = this
    const engine = simulation.engines.get(runner)
    if (engine === undefined || !engine.isReachable) return
    const models = engine.report(simulation.now)
    const leaving = engine.isLeaving
    simulation.after(LATENCY_MS * 2, () => { this.whenThawed(() => { this.dispatchEvent({ kind: 'reported', runner, models, leaving }) }) })
  }

  private send ({ runner, order }: PlacementAction): void {
    const { harness: simulation } = this
    if (!this.mayAct()) return
    simulation.recordOrder(order)
    const engine = simulation.engines.get(runner)
    const deliverOutcome = (outcome: Extract<PlacementEvent, { kind: 'answered' }>['outcome'], ms: number): void =>
      simulation.after(ms, () => { this.whenThawed(() => { this.dispatchEvent({ kind: 'answered', orderId: order.orderId, outcome }) }) })
    if (engine === undefined || !engine.isReachable) return deliverOutcome({ kind: 'notSent' }, LATENCY_MS)
    simulation.after(LATENCY_MS, () => {
      // Orders in transit from a frozen VM are delivered when it resumes.
      this.whenThawed(() => {
        if (engine.isDown) return deliverOutcome({ kind: 'unknown' }, CALL_TIMEOUT_MS)
        const outcome = engine.receive(order, simulation.now)
        if (outcome.kind === 'refused' && outcome.retryAfterMs !== undefined) simulation.weightRefusals += 1
        deliverOutcome(outcome, outcome.kind === 'unknown' ? CALL_TIMEOUT_MS : LATENCY_MS)
      })
    })
  }

  private whenThawed (run: () => void): void {
    if (!this.isFrozen) return run()
    this.harness.after(TICK_INTERVAL_MS / 10, () => { this.whenThawed(run) })
  }
}
