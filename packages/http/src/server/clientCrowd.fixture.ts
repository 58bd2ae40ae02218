/**
 * A crowd of clients that misbehave: each opens a connection and sends what the plan says as fast as the server takes it. One whose connection
 * closes opens another.
 */
import { connect, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'

/** Delay before a client whose connection was closed opens another, in milliseconds. */
const REOPEN_MS = 20
/** Requests that a client writes at once. */
const BATCH = 64
/** Clients that connect at the same time, and the delay until the next ones, so that no connection waits for a place in the listen backlog. */
const GROUP = 8
const GROUP_MS = 10
/** Interval between two checks whether all clients have sent all, in milliseconds. */
const CHECK_MS = 50

export interface CrowdPlan {
  /** IPv4:port of the server. */
  readonly address: string
  readonly clients: number
  /** Builds one piece, such as a whole request, from its number; the first one of a connection may differ. */
  readonly piece: (number: number, isFirst: boolean) => string
}

/** Clients with connections that stay open until {@link ClientCrowd.leave}. */
export class ClientCrowd {
  private readonly sockets = new Set<Socket>()
  /** Pieces that each client has still to send ahead. */
  private readonly left: number[] = []
  private sent = 0
  private hasLeft = false

  constructor (private readonly plan: CrowdPlan) {}

  /**
   * Lets each client send ahead without reading; resolves once all pieces are sent, or after the timeout.
   * @param pieces - of each client, over all its connections
   */
  async send (pieces: number, timeoutMs: number): Promise<void> {
    const endsAt = performance.now() + timeoutMs
    for (let client = 0; client < this.plan.clients; client += 1) {
      this.left.push(pieces)
      this.sendAhead(client)
    }
    while (performance.now() < endsAt && this.left.some(left => left > 0)) await pause(CHECK_MS)
    this.left.fill(0)
  }

  /** Lets each client send one piece on each of its connections and discard what it receives, for a time. */
  async stay (durationMs: number): Promise<void> {
    const endsAt = performance.now() + durationMs
    for (let client = 0; client < this.plan.clients; client += 1) {
      if (client % GROUP === 0) await pause(GROUP_MS)
      this.sendOnce()
    }
    await pause(endsAt - performance.now())
  }

  /** Closes all connections. */
  leave (): void {
    this.hasLeft = true
    for (const socket of this.sockets) socket.destroy()
  }

  private sendAhead (client: number): void {
    const socket = this.open(() => { this.sendAhead(client) })
    socket?.pause()
    socket?.on('connect', () => { this.write(client, socket) })
    socket?.on('drain', () => { this.write(client, socket) })
  }

  private sendOnce (): void {
    const socket = this.open(() => { this.sendOnce() })
    socket?.resume()
    socket?.write(this.plan.piece(this.sent++, true))
  }

  private open (reopen: () => void): Socket | undefined {
    if (this.hasLeft) return undefined
    const [host = '', port] = this.plan.address.split(':')
    const socket = connect(Number(port), host)
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => {
      this.sockets.delete(socket)
      setTimeout(reopen, REOPEN_MS)
    })
    return socket
  }

  private write (client: number, socket: Socket): void {
    let isWritable = true
    while (isWritable && !socket.destroyed) {
      const left = this.left[client] ?? 0
      if (left === 0) return
      const count = Math.min(BATCH, left)
      this.left[client] = left - count
      isWritable = socket.write(Array.from({ length: count }, (_, index) => this.plan.piece(this.sent++, socket.bytesWritten === 0 && index === 0)).join(''))
    }
  }
}
