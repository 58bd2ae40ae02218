/**
 * Carries out placement while this VM holds its lease: asks all runners for their reports, feeds
 * the planner and sends its orders. Whether the lease is held is asked anew right before each
 * order, as every wait before may have been long.
 */
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { FleetConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { PlacementAction, PlacementDecider, PlacementEvent, PlacementOutcome } from '@rosemaryspread/decisions/placement/placementTypes.js'
import type { EngineClient } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { CurrentConfig } from '../completion/completionPorts.js'

/** Reports that are asked for at once. */
const REPORTS_AT_ONCE = 16
/** Reports asked for in one round; 600 runners are asked every five rounds, 120 in each. */
const REPORTS_A_ROUND = 120

/** The part of the lease that placement needs. */
export interface PlacementLease {
  /** Whether orders may be given at this moment. */
  mayAct (): boolean
  /** Fencing number while the lease is held. */
  fencing (): Either<Failure, number>
}

/** What placement is composed of. */
export interface PlacementDeps {
  readonly planner: PlacementDecider
  readonly lease: PlacementLease
  readonly engines: Pick<EngineClient, 'load' | 'order'>
  readonly config: CurrentConfig
  readonly clock: Clock
  readonly log: EventLog
}

/** Placement of one VM. */
export class PlacementDriver {
  private fencing: number | undefined
  private config: FleetConfig | undefined
  private isPolling = false
  private nextReport = 0
  private readonly open = new Set<Promise<void>>()

  /** @param deps - the planner and what it works on */
  constructor (private readonly deps: PlacementDeps) {}

  /** One round: follows lease and configuration, asks for reports, and sends what is due. */
  async tick (): Promise<void> {
    this.followLease()
    if (this.fencing === undefined) return
    this.followConfig()
    await this.poll()
    if (this.holds()) this.feed({ kind: 'tick' })
  }

  /** Resolves when no order is on the wire. */
  async idle (): Promise<void> {
    while (this.open.size > 0) await Promise.all(this.open)
  }

  private followLease (): void {
    const held = this.deps.lease.fencing().caseOf<number | undefined>({ Left: () => undefined, Right: fencing => fencing })
    if (held === this.fencing) return
    this.fencing = held
    if (held === undefined) this.feed({ kind: 'lost' })
    else this.feed({ kind: 'taken', fencing: held })
  }

  private followConfig (): void {
    const config = this.deps.config.current().map(current => current.config).extract()
    if (config === undefined || config === this.config) return
    this.config = config
    this.feed({ kind: 'configured', config })
  }

  private holds (): boolean {
    return this.fencing !== undefined && this.deps.lease.mayAct()
  }

  private async poll (): Promise<void> {
    if (this.isPolling) return
    this.isPolling = true
    const runners = this.nextRunners()
    const worker = async (): Promise<void> => {
      for (let next = runners.shift(); next !== undefined && this.holds(); next = runners.shift()) {
        await this.ask(...next)
      }
    }
    await Promise.all(Array.from({ length: REPORTS_AT_ONCE }, worker)).finally(() => { this.isPolling = false })
  }

  /** The runners whose turn it is, as names with addresses. */
  private nextRunners (): Array<readonly [string, string]> {
    const active = Object.entries(this.config?.runners ?? {}).filter(([, { state }]) => state === 'active')
    const size = Math.min(active.length, REPORTS_A_ROUND)
    const first = this.nextReport % Math.max(active.length, 1)
    this.nextReport = first + size
    return [...active.slice(first), ...active.slice(0, first)].slice(0, size).map(([runner, { address }]) => [runner, address])
  }

  private async ask (runner: string, address: string): Promise<void> {
    const report = await this.deps.engines.load(address)
    report.ifRight(({ models, leaving }) => { this.feed({ kind: 'reported', runner, models, leaving }) })
  }

  private feed (event: PlacementEvent): void {
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
    answer.ifLeft(failure => { log.write('placementFault', { runner, order: order.orderId, code: failure.code, detail: failure.message }) })
    this.answer(order.orderId, outcomeOf(answer))
  }

  private answer (orderId: string, outcome: PlacementOutcome): void {
    this.feed({ kind: 'answered', orderId, outcome })
  }
}

/**
 * What an answer says about an order.
 * @param answer - of the engine client
 */
export function outcomeOf (answer: Either<Failure, void>): PlacementOutcome {
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
