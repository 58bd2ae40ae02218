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
  const unanswered = new UnansweredResponses()
  const server = createServer({ ...options, IncomingMessage: GuardedMessage }, (req, res) => {
    closeWith(req, res)
    unanswered.add(req.socket, res)
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

/** Responses that wait for those to earlier requests of their connection. Node does not tell them when it closes: it does for the first one. */
class UnansweredResponses {
  private readonly byConnection = new WeakMap<Socket, Set<ServerResponse>>()

  add (socket: Socket, res: ServerResponse): void {
    const responses = this.byConnection.get(socket) ?? this.follow(socket)
    responses.add(res)
    res.once('close', () => { responses.delete(res) })
  }

  private follow (socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>()
    this.byConnection.set(socket, responses)
    socket.once('close', () => {
      for (const res of responses) if (res.socket === null) closeResponse(res)
    })
    return responses
  }
}

function closeResponse (res: ServerResponse): void {
  res.destroy()
  res.emit('close')
}

/** The parser sets these properties once the message is created. */
function presentAsConnect (message: IncomingMessage): void {
  Object.defineProperties(message, { method: constant('CONNECT'), upgrade: constant(true) })
}

function constant (value: unknown): PropertyDescriptor {
  return { get: () => value, set: () => {} }
}
