/**
 * One stand-in process: a serving port with fault injection, and a control port.
 */
import type { ZodType } from 'zod'
import { controlSchema, type Control } from './controlTypes.js'
import { FaultGuard } from './faultGuard.js'
import type { HistoryLog } from './historyLog.js'
import { HttpPort, type PortAddress } from './httpPort.js'
import type { HttpRoute } from './httpTypes.js'

/** What is specific to one kind of stand-in. */
export interface StandInDefinition {
  readonly routes: readonly HttpRoute[]
  readonly history: HistoryLog
  /** State dump for tests, sent as JSON. */
  readonly state: () => unknown
  /** Additional routes of the control port. */
  readonly controlRoutes?: readonly HttpRoute[]
  /** Schema of control messages, if it extends the common one. */
  readonly controlSchema?: ZodType<Control>
  /** Applies the fields of a control message other than the common faults. */
  readonly onControl?: (control: Control) => void
  /** Stops timers. */
  readonly stop?: () => void
}

export interface StandInAddresses {
  readonly listen: PortAddress
  readonly control: PortAddress
}

export class StandIn {
  readonly guard = new FaultGuard()
  private readonly serving: HttpPort
  private readonly control: HttpPort

  constructor (addresses: StandInAddresses, private readonly parts: StandInDefinition) {
    this.serving = new HttpPort(addresses.listen, parts.routes, this.guard)
    this.control = new HttpPort(addresses.control, [...this.commonRoutes(), ...parts.controlRoutes ?? []])
  }

  /** Opens both ports and returns their addresses. */
  async start (): Promise<StandInAddresses> {
    return { listen: await this.serving.open(), control: await this.control.open() }
  }

  async stop (): Promise<void> {
    this.parts.stop?.()
    await Promise.all([this.serving.close(), this.control.close()])
  }

  private commonRoutes (): readonly HttpRoute[] {
    return [
      { method: 'POST', pattern: /^\/control$/, serve: async req => await this.applyControl(req.json(this.parts.controlSchema ?? controlSchema)) },
      { method: 'GET', pattern: /^\/control$/, serve: () => ({ status: 200, body: this.switches() }) },
      { method: 'GET', pattern: /^\/control\/state$/, serve: () => ({ status: 200, body: this.parts.state() }) },
      {
        method: 'GET',
        pattern: /^\/control\/history$/,
        serve: req => ({ status: 200, body: this.parts.history.lines(req.count('from', 0)), headers: { 'content-type': 'application/x-ndjson' } })
      }
    ]
  }

  private async applyControl (control: Control): Promise<{ status: number, body: unknown }> {
    this.guard.apply(control)
    this.parts.onControl?.(control)
    await (this.guard.switches.refuse ? this.serving.close() : this.serving.open())
    return { status: 200, body: this.switches() }
  }

  private switches (): unknown {
    return { ...this.guard.switches, cut: [...this.guard.switches.cut] }
  }
}
