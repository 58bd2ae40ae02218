/**
 * Serves calls of other VMs over TCP. Drops connections that do not authenticate in time and those beyond the connection limit.
 */
import { once } from 'node:events'
import { createServer, type Server, type Socket } from 'node:net'
import { JSONRPCServer } from 'json-rpc-2.0'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { parseAddress } from './address.js'
import { toErrorResponse } from './failureCodec.js'
import { KeyRing } from './handshake.js'
import { defaultLinkLimits, PROBE_METHOD, type LinkLimits, type PeerIdentity, type PeerMethodHandler, type PeerServer } from './linkTypes.js'
import { servePeer, type SessionContext } from './peerSession.js'

/** Peer server over TCP, JSON-RPC and msgpackr. */
export class JsonRpcPeerServer implements PeerServer {
  private readonly rpc: JSONRPCServer<string>
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private readonly context: SessionContext

  /**
   * @param log - receives unexpected errors of handlers
   * @throws Failure `settingsInvalid` when there is no usable key
   */
  constructor (identity: PeerIdentity, private readonly log: EventLog, limits: LinkLimits = defaultLinkLimits) {
    this.rpc = new JSONRPCServer<string>({ errorListener: () => {} })
    this.rpc.mapErrorToJSONRPCErrorResponse = toErrorResponse
    this.context = { holder: identity.holder, keys: new KeyRing(identity.keys), limits, rpc: this.rpc }
    this.server = createServer(socket => this.accept(socket))
    this.server.maxConnections = limits.connections
    this.server.on('error', err => log.write('fault', { err }))
    this.register(PROBE_METHOD, async () => null)
  }

  /**
   * Adds a method. A `Failure` thrown by the handler is returned to the caller; any other error is logged and returned
   * as `internal`.
   */
  register (method: string, handler: PeerMethodHandler): void {
    this.rpc.addMethod(method, async (params, from) => {
      try {
        return await handler(params, from) ?? null
      } catch (err) {
        if (!(err instanceof Failure)) this.log.write('fault', { err, method, peer: from })
        throw err
      }
    })
  }

  /**
   * Starts listening.
   * @param address - IPv4:port; port 0 selects any free port
   */
  async listen (address: string): Promise<void> {
    const { host, port } = parseAddress(address)
    this.server.listen({ host, port })
    await once(this.server, 'listening')
  }

  /** The bound address, as IPv4:port. */
  get address (): string {
    const bound = this.server.address()
    if (bound === null || typeof bound === 'string') throw new Failure('internal', 'the peer server is not listening', { ran: 'no' })
    return `${bound.address}:${bound.port}`
  }

  /** Stops listening and closes all connections. */
  async close (): Promise<void> {
    if (!this.server.listening) return
    const closed = once(this.server, 'close')
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
    await closed
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => this.sockets.delete(socket))
    servePeer(socket, this.context)
  }
}
