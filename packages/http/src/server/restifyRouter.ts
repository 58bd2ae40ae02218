/**
 * Routes by restify.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import restify from 'restify'
import type { HttpRouter, RouteHandler, RouteMethod, UnroutedHandler } from './httpRouter.js'
import { routerFailure, type StatusError } from './protocolFailures.js'
import { silentLog } from './silentLog.js'

/** Restify's router; paths are in its notation. */
export class RestifyRouter implements HttpRouter {
  private readonly app = restify.createServer({ name: '', log: silentLog as never })

  constructor () {
    // Restify would take the connection of a request with `Upgrade` and never answer it; without it Node serves the request.
    this.node.removeAllListeners('upgrade')
  }

  get node (): Server {
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

  /** Restify's own answer is left out by not calling its callback. */
  onUnrouted (handler: UnroutedHandler): void {
    this.app.on('restifyError', (req: IncomingMessage, res: ServerResponse, err: StatusError) => {
      handler(req, res, routerFailure(err))
    })
  }

  listen (host: string, port: number, waiting: number): Promise<void> {
    return new Promise((resolve, reject) => {
      // Restify passes the errors of its server on and throws where nobody listens to them.
      this.app.once('error', reject)
      this.app.listen(port, host, waiting, () => {
        this.app.off('error', reject)
        resolve()
      })
    })
  }
}
