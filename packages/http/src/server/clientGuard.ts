/**
 * Keeps what clients send ahead within limits that hold for all servers of a process together, and reports the connections closed for it.
 */
import type { Socket } from 'node:net'
import type { CloseReason } from '@rosemaryspread/decisions/clients/closeReason.js'
import type { ClientLimits } from './clientLimits.js'

/** Is told of each connection that was closed. */
export interface ClientMonitor {
  /** @param server - name of the server that closed the connection */
  closed (server: string, reason: CloseReason): void
}

export class ClientGuard {
  /** Number of open requests of each open connection that has had one. */
  private readonly open = new Map<Socket, number>()
  private ahead = 0

  constructor (private readonly limits: ClientLimits, private readonly monitor: ClientMonitor) {}

  /** Open requests of all connections, without the first of each. */
  get openAhead (): number {
    return this.ahead
  }

  /**
   * Counts a request until {@link close}, or until its connection closes. Returns false if the connection is to be closed, or is closed already.
   * @param server - name of the server that received it
   */
  tryOpen (socket: Socket, server: string): boolean {
    if (socket.destroyed) return false
    const others = this.open.get(socket)
    if (others === undefined) socket.once('close', () => { this.forget(socket) })
    else if (others > 0 && !this.tryOpenAhead(others)) {
      this.closed(server, 'sentAhead')
      return false
    }
    this.open.set(socket, (others ?? 0) + 1)
    return true
  }

  /** Counts a request no longer. */
  close (socket: Socket): void {
    const open = this.open.get(socket)
    if (open === undefined) return
    if (open > 1) this.ahead -= 1
    this.open.set(socket, open - 1)
  }

  /** Reports a connection that its server closed. */
  closed (server: string, reason: CloseReason): void {
    this.monitor.closed(server, reason)
  }

  private tryOpenAhead (others: number): boolean {
    const { aheadPerConnection, aheadTotal } = this.limits
    if (others > aheadPerConnection || this.ahead >= aheadTotal) return false
    this.ahead += 1
    return true
  }

  private forget (socket: Socket): void {
    this.ahead -= Math.max(0, (this.open.get(socket) ?? 0) - 1)
    this.open.delete(socket)
  }
}
