/**
 * Router based on restify.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import restify from 'restify'
import type { HttpRouter, RouteHandler, RouteMethod, UnroutedHandler } from './httpRouter.js'
import { routerFailure, type StatusError } from './protocolFailures.js'
import { silentLog } from './silentLog.js'

/** Paths are in restify's notation. */
export class RestifyRouter implements HttpRouter {
  private readonly app = restify.createServer({ name: '', log: silentLog as never })

  constructor () {
    // Restify's `upgrade` listener never answers a request with `Upgrade`; without a listener Node serves it as a plain request.
    this.nodeServer.removeAllListeners('upgrade')
  }

  get nodeServer (): Server {
    return this.app.server as Server
  }

  route (method: RouteMethod, path: string, handler: RouteHandler): void {
    const serve = (req: restify.Request, res: restify.Response, next: restify.Next): void => {
      handler(req, res).then(() => {
        if (res.headersSent) next()
      })
    }
    if (method === 'GET') this.app.get(path, serve)
    else this.app.post(path, serve)
  }

  /** The listener never calls restify's callback, which would send restify's default response. */
  onUnrouted (handler: UnroutedHandler): void {
    this.app.on('restifyError', (req: IncomingMessage, res: ServerResponse, err: StatusError) => {
      handler(req, res, routerFailure(err))
    })
  }

  listen (host: string, port: number, backlog: number): Promise<void> {
    return new Promise((resolve, reject) => {
      // Restify re-emits errors of its server and throws when there is no listener.
      this.app.once('error', reject)
      this.app.listen(port, host, backlog, () => {
        this.app.off('error', reject)
        resolve()
      })
    })
  }
}
