/**
 * Executes placement while this VM holds its lease: polls runners for load reports, passes them to the planner and
 * sends its orders. The lease is checked again right before each order, as any earlier wait may have outlasted it.
 */
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { FleetConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { PlacementAction, PlacementDecider, PlacementEvent, PlacementOutcome } from '@rosemaryspread/decisions/placement/placementTypes.js'
import type { EngineClient } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { CurrentConfig } from '../completion/completionPorts.js'
import { ReportScheduler } from './reportScheduler.js'

/** The placement lease. */
export interface PlacementLease {
  /** Whether orders may be sent at this moment. */
  mayAct (): boolean
  /** Fencing number; a failure while the lease is not held. */
  fencing (): Either<Failure, number>
}

/** Dependencies of {@link PlacementDriver}. */
export interface PlacementDeps {
  readonly planner: PlacementDecider
  readonly lease: PlacementLease
  readonly engines: Pick<EngineClient, 'load' | 'order'>
  readonly config: CurrentConfig
  readonly clock: Clock
  readonly log: EventLog
}

/** Placement driver of one VM. */
export class PlacementDriver {
  private fencing: number | undefined
  private config: FleetConfig | undefined
  private readonly turns = new ReportScheduler()
  private readonly open = new Set<Promise<void>>()

  constructor (private readonly deps: PlacementDeps) {}

  /** Runs one round: syncs lease and configuration, polls reports and sends the orders that are due. */
  async tick (): Promise<void> {
    this.syncLease()
    if (this.fencing === undefined) return
    this.syncConfig()
    await this.pollReports()
    if (this.mayAct()) this.dispatch({ kind: 'tick' })
  }

  /** Resolves once no order awaits a response. */
  async idle (): Promise<void> {
    while (this.open.size > 0) await Promise.all(this.open)
  }

  private syncLease (): void {
    const current = this.deps.lease.fencing().caseOf<number | undefined>({ Left: () => undefined, Right: fencing => fencing })
    if (current === this.fencing) return
    this.fencing = current
    if (current === undefined) this.dispatch({ kind: 'lost' })
    else this.dispatch({ kind: 'taken', fencing: current })
  }

  private syncConfig (): void {
    const config = this.deps.config.current().map(current => current.config).extract()
    if (config === undefined || config === this.config) return
    this.config = config
    this.dispatch({ kind: 'configured', config })
  }

  private mayAct (): boolean {
    return this.fencing !== undefined && this.deps.lease.mayAct()
  }

  /** Polls the runners scheduled for this round; an unresponsive runner does not delay later rounds. */
  private async pollReports (): Promise<void> {
    if (!this.mayAct()) return
    const runners = this.config?.runners ?? {}
    const active = Object.keys(runners).filter(runner => runners[runner]?.state === 'active')
    const chosen = this.turns.next(active, this.deps.clock.now().mono)
    await Promise.all(chosen.map(async runner => { await this.ask(runner, runners[runner]?.address ?? '') }))
  }

  private async ask (runner: string, address: string): Promise<void> {
    let isAnswered = false
    try {
      const report = await this.deps.engines.load(address)
      isAnswered = report.isRight()
      report.ifRight(({ models, leaving }) => { this.dispatch({ kind: 'reported', runner, models, leaving }) })
    } finally {
      this.turns.ended(runner, isAnswered)
    }
  }

  private dispatch (event: PlacementEvent): void {
    for (const action of this.deps.planner.handle(event, this.deps.clock.now())) this.start(action)
  }

  private start (action: PlacementAction): void {
    const sending = this.send(action)
      .catch((err: unknown) => { this.deps.log.write('fault', { err }) })
      .finally(() => { this.open.delete(sending) })
    this.open.add(sending)
  }

  private async send ({ runner, address, order, reason }: PlacementAction): Promise<void> {
    const { log, engines } = this.deps
    if (order.fencing !== this.fencing || !this.deps.lease.mayAct()) return this.answer(order.orderId, { kind: 'notSent' })
    log.write('placed', { runner, order, reason })
    const answer = await engines.order(address, order)
    if (order.kind !== 'role') this.turns.orderAnswered(runner, this.deps.clock.now().mono)
    answer.ifLeft(failure => { log.write('placementFault', { runner, order: order.orderId, code: failure.code, detail: failure.message }) })
    this.answer(order.orderId, toOutcome(answer))
  }

  private answer (orderId: string, outcome: PlacementOutcome): void {
    this.dispatch({ kind: 'answered', orderId, outcome })
  }
}

/** Maps a response of the engine client to the outcome of an order. */
export function toOutcome (answer: Either<Failure, void>): PlacementOutcome {
  return answer.caseOf<PlacementOutcome>({
    Right: () => ({ kind: 'done' }),
    Left: ({ code, ran, retryAfterMs }) => {
      if (code === 'leaseLost') return { kind: 'oldFencing' }
      if (code === 'runnerUnreachable') return { kind: ran === 'no' ? 'notSent' : 'unknown' }
      if (ran !== 'no') return { kind: 'unknown' }
      return { kind: 'refused', ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
    }
  })
}
