/**
 * Injects the common faults at the serving port: outage, delay, cut VMs and lost answers. Their order is that of a
 * real service: a cut connection carries no request, a slow call takes effect late, and an answer is lost after the
 * effect.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { noFaults, type Control, type FaultSwitches } from './controlTypes.js'
import type { PortGuard } from './httpPort.js'
import { HttpError, type HttpAnswer } from './httpTypes.js'

export class FaultGuard implements PortGuard {
  readonly switches: FaultSwitches = noFaults()
  private readonly sockets = new Map<Socket, string>()

  /** Sets the faults given in a control message, and cuts open connections of the VMs in `cut`. */
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
    if (this.switches.outage) throw new HttpError(503, 'simulated outage')
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
