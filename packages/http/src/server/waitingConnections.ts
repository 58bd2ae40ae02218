/**
 * Connections that have not brought a whole head of a request yet. Where a server has no place left, the one that has waited longest makes room for
 * a new one: clients that send their requests are served beside many that only connect.
 */
import type { Socket } from 'node:net'

/** Time that a client has for its first request whatever others need, in milliseconds. */
const MIN_WAIT_MS = 100

export class WaitingConnections {
  /** Monotonic milliseconds at which each was opened, in this order. */
  private readonly waiting = new Map<Socket, number>()

  opened (socket: Socket): void {
    this.waiting.set(socket, performance.now())
    socket.once('close', () => { this.waiting.delete(socket) })
  }

  has (socket: Socket): boolean {
    return this.waiting.has(socket)
  }

  /** A whole head was received. */
  requested (socket: Socket): void {
    this.waiting.delete(socket)
  }

  /** Closes the connection that has waited longest, if its time is up; returns whether it was. */
  closeOldest (): boolean {
    const [first] = this.waiting
    if (first === undefined) return false
    const [oldest, openedAt] = first
    if (performance.now() - openedAt < MIN_WAIT_MS) return false
    this.waiting.delete(oldest)
    oldest.destroy()
    return true
  }
}
