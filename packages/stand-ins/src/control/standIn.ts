/**
 * One stand-in process: its serving port with faults and its control port.
 */
import type { ZodType } from 'zod'
import { controlSchema, type Control } from './controlTypes.js'
import { FaultGuard } from './faultGuard.js'
import type { HistoryLog } from './historyLog.js'
import { HttpPort, type PortAddress } from './httpPort.js'
import type { HttpRoute } from './httpTypes.js'

/** What one kind of stand-in brings. */
export interface StandInParts {
  readonly routes: readonly HttpRoute[]
  readonly history: HistoryLog
  /** A dump for tests, answered as JSON. */
  readonly state: () => unknown
  /** Calls of the control port besides the common ones. */
  readonly controlRoutes?: readonly HttpRoute[]
  /** Shape of control messages when it is wider than the common one. */
  readonly controlSchema?: ZodType<Control>
  /** Carries out what a control message says besides the common faults. */
  readonly onControl?: (control: Control) => void
  /** Stops timers. */
  readonly stop?: () => void
}

/** Addresses that a stand-in listens on. */
export interface StandInAddresses {
  readonly listen: PortAddress
  readonly control: PortAddress
}

/** A stand-in that can be started and stopped. */
export class StandIn {
  readonly guard = new FaultGuard()
  private readonly serving: HttpPort
  private readonly control: HttpPort

  /**
   * @param addresses - where to listen
   * @param parts - what this kind of stand-in does
   */
  constructor (addresses: StandInAddresses, private readonly parts: StandInParts) {
    this.serving = new HttpPort(addresses.listen, parts.routes, this.guard)
    this.control = new HttpPort(addresses.control, [...this.commonRoutes(), ...parts.controlRoutes ?? []])
  }

  /** Opens both ports; answers where they are. */
  async start (): Promise<StandInAddresses> {
    return { listen: await this.serving.open(), control: await this.control.open() }
  }

  async stop (): Promise<void> {
    this.parts.stop?.()
    await Promise.all([this.serving.close(), this.control.close()])
  }

  private commonRoutes (): readonly HttpRoute[] {
    return [
      { method: 'POST', pattern: /^\/control$/, serve: async req => await this.obey(req.json(this.parts.controlSchema ?? controlSchema)) },
      { method: 'GET', pattern: /^\/control$/, serve: () => ({ status: 200, body: this.switches() }) },
      { method: 'GET', pattern: /^\/control\/state$/, serve: () => ({ status: 200, body: this.parts.state() }) },
      {
        method: 'GET',
        pattern: /^\/control\/history$/,
        serve: req => ({ status: 200, body: this.parts.history.lines(req.count('from', 0)), headers: { 'content-type': 'application/x-ndjson' } })
      }
    ]
  }

  private async obey (control: Control): Promise<{ status: number, body: unknown }> {
    this.guard.apply(control)
    this.parts.onControl?.(control)
    await (this.guard.switches.refuse ? this.serving.close() : this.serving.open())
    return { status: 200, body: this.switches() }
  }

  private switches (): unknown {
    return { ...this.guard.switches, cut: [...this.guard.switches.cut] }
  }
}
