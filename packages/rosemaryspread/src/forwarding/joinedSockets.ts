/**
 * Joins the connection of a caller with the one over which it is forwarded. Bytes, backpressure, a half-close of the caller and a
 * reset of either side pass through; nothing is parsed. The other VM closes after one answer, and the caller's connection with it.
 */
import { connect, type Socket } from 'node:net'

const MAX_PORT = 65_535
/** Time for a connection to another VM; a handshake takes about 1 ms. */
const CONNECT_TIMEOUT_MS = 200
/** Time after which a connection that its caller closed is given up, if the other VM does not close it. */
const CLOSED_CALLER_MS = 1_000

/**
 * Connects to another VM; resolves to undefined if it fails or takes too long.
 * @param address - IPv4:port
 */
export function connectWithin (address: string): Promise<Socket | undefined> {
  const [host, port] = address.split(':')
  if (!isPort(Number(port))) return Promise.resolve(undefined)
  return new Promise(resolve => {
    const socket = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
    // A busy event loop runs a timer before it sees the connection that was established in time.
    const timer = setTimeout(() => { setImmediate(() => { if (socket.connecting) socket.destroy() }) }, CONNECT_TIMEOUT_MS)
    const settle = (result: Socket | undefined): void => {
      clearTimeout(timer)
      resolve(result)
    }
    // The close that follows an error tells of it.
    socket.on('error', () => {})
    socket.once('connect', () => { settle(socket) })
    socket.once('close', () => { settle(undefined) })
  })
}

function isPort (port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT
}

/**
 * Passes everything between both sockets until they are closed.
 * @param caller - connection of the caller, from which nothing was read
 * @param peer - connection to the other VM
 */
export function joinSockets (caller: Socket, peer: Socket): void {
  // The close that follows an error is passed on.
  caller.on('error', () => {})
  caller.pipe(peer)
  peer.pipe(caller, { end: false })
  peer.once('end', () => { caller.destroySoon() })
  peer.once('close', () => { if (!peer.readableEnded) caller.resetAndDestroy() })
  caller.once('end', () => {
    const timer = setTimeout(() => { caller.resetAndDestroy() }, CLOSED_CALLER_MS).unref()
    caller.once('close', () => { clearTimeout(timer) })
  })
  caller.once('close', () => {
    if (peer.readableEnded) peer.destroy()
    else if (!peer.destroyed) peer.resetAndDestroy()
  })
}
