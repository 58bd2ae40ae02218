/**
 * Makes the common faults at a stand-in's serving port: outage, slowness, cut VMs and lost
 * answers. The order is that of a real service: a cut connection carries nothing, a slow call
 * takes effect late, and an answer is lost after the effect.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { noFaults, type Control, type FaultSwitches } from './controlTypes.js'
import type { PortGuard } from './httpPort.js'
import { HttpFault, type HttpAnswer } from './httpTypes.js'

/** The faults of one stand-in. */
export class FaultGuard implements PortGuard {
  readonly switches: FaultSwitches = noFaults()
  private readonly sockets = new Map<Socket, string>()

  /**
   * Sets the faults named in a control message; cuts open connections of VMs now in `cut`.
   * @param control - the message
   */
  apply (control: Control): void {
    const { cut, outage, slowMs, loseAnswers, refuse } = control
    this.switches.outage = outage ?? this.switches.outage
    this.switches.slowMs = slowMs ?? this.switches.slowMs
    this.switches.loseAnswers = loseAnswers ?? this.switches.loseAnswers
    this.switches.refuse = refuse ?? this.switches.refuse
    if (cut === undefined) return
    this.switches.cut = new Set(cut)
    for (const [socket, vm] of this.sockets) if (this.switches.cut.has(vm)) socket.destroy()
  }

  async enter (req: IncomingMessage): Promise<boolean> {
    const vm = String(req.headers['x-vm'] ?? '')
    this.track(req.socket, vm)
    if (this.switches.cut.has(vm)) return false
    if (this.switches.slowMs > 0) await sleep(this.switches.slowMs)
    if (this.switches.cut.has(vm)) return false
    if (this.switches.outage) throw new HttpFault(503, 'out of service')
    return true
  }

  leave (answer: HttpAnswer): boolean {
    if (answer.effect !== true || this.switches.loseAnswers === 0) return true
    this.switches.loseAnswers--
    return false
  }

  private track (socket: Socket, vm: string): void {
    if (!this.sockets.has(socket)) socket.once('close', () => this.sockets.delete(socket))
    this.sockets.set(socket, vm)
  }
}
