/**
 * Creates HTTP servers with a guard against requests that are sent ahead. Node parses all requests that it has read from a connection at once, even
 * if the connection is paused or closed meanwhile, and keeps objects for each of them. It stops parsing only at a request that leaves HTTP, and
 * closes the connection of a CONNECT that no listener takes over; so a request beyond the limits is presented as a CONNECT.
 */
import { createServer, IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ClientGuard } from './clientGuard.js'

const EXPECTATION_FAILED = 417

/**
 * Creates a server; it must have no listener for `connect`.
 * @param name - of the server, for logs and metrics
 * @param listener - receives the requests within the limits
 */
export function createGuardedServer (options: ServerOptions, name: string, clients: ClientGuard, listener: RequestListener): Server {
  class GuardedMessage extends IncomingMessage {
    constructor (socket: Socket) {
      super(socket)
      if (!clients.tryOpen(socket, name)) presentAsConnect(this)
    }
  }
  const server = createServer({ ...options, IncomingMessage: GuardedMessage }, (req, res) => {
    closeWith(req, res)
    listener(req, res)
  })
  // Node would refuse unknown expectations itself, and not tell when they are answered.
  server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => {
    closeWith(req, res)
    res.writeHead(EXPECTATION_FAILED)
    res.end()
  })
  return server

  function closeWith ({ socket }: IncomingMessage, res: ServerResponse): void {
    res.once('close', () => { clients.close(socket) })
  }
}

/** The parser sets these properties once the message is created. */
function presentAsConnect (message: IncomingMessage): void {
  Object.defineProperties(message, { method: constant('CONNECT'), upgrade: constant(true) })
}

function constant (value: unknown): PropertyDescriptor {
  return { get: () => value, set: () => {} }
}
