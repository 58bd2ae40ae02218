/**
 * Proxy between one VM and the store: forwards at the bandwidth of the VM's link, and can reset connections.
 */
import { connect, createServer } from 'node:net'

const TICK_MS = 2
const BITS_PER_BYTE = 8

export class LinkProxy {
  connections = new Set()
  server = createServer(socket => { this.accept(socket) })

  /**
   * @param target - address of the store, IPv4:port
   * @param mbps - bandwidth towards the VM in Mbit/s
   */
  constructor (target, mbps) {
    this.target = target
    this.bytesPerTick = Math.ceil(mbps * 1_000 * TICK_MS / BITS_PER_BYTE)
  }

  listen (ip) {
    this.timer = setInterval(() => { this.forward() }, TICK_MS)
    return new Promise(resolve => { this.server.listen(0, ip, () => { resolve(`${ip}:${this.server.address().port}`) }) })
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    for (const { near, far } of this.connections) {
      near.destroy()
      far.destroy()
    }
  }

  /**
   * Resets a share of the open connections; returns how many, and how many of them had an answer on its way.
   * @param share - 0 to 1
   */
  reset (share) {
    const chosen = [...this.connections].filter(() => Math.random() < share)
    let onTheWay = 0
    for (const connection of chosen) {
      const { near, far, unsent, isBegun } = connection
      this.connections.delete(connection)
      far.destroy()
      if (isBegun && unsent.length > 0) {
        onTheWay += 1
        // The bytes that are on the link arrive; those behind them don't.
        near.write(unsent.subarray(0, this.bytesPerTick))
      }
      near.resetAndDestroy()
    }
    return { reset: chosen.length, onTheWay }
  }

  accept (near) {
    const [host, port] = this.target.split(':')
    const far = connect({ host, port: Number(port) })
    const connection = { near, far, unsent: Buffer.alloc(0), isBegun: false, isEnded: false }
    this.connections.add(connection)
    for (const socket of [near, far]) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
    }
    near.pipe(far)
    far.on('data', bytes => { connection.unsent = Buffer.concat([connection.unsent, bytes]) })
    far.on('end', () => { connection.isEnded = true })
    near.on('close', () => {
      this.connections.delete(connection)
      far.destroy()
    })
  }

  /** Sends what the link carries in one tick, in equal parts to the connections that have something to send. */
  forward () {
    const busy = [...this.connections].filter(({ unsent }) => unsent.length > 0)
    const part = Math.ceil(this.bytesPerTick / Math.max(1, busy.length))
    for (const connection of busy) {
      connection.near.write(connection.unsent.subarray(0, part))
      connection.unsent = connection.unsent.subarray(part)
      connection.isBegun = connection.unsent.length > 0
    }
    for (const { near, unsent, isEnded } of this.connections) if (isEnded && unsent.length === 0) near.end()
  }
}
