/**
 * Router based on restify.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import restify from 'restify'
import type { HttpRouter, RouteHandler, RouteMethod, UnroutedHandler } from './httpRouter.js'
import { routerFailure, type StatusError } from './protocolFailures.js'
import { silentLog } from './silentLog.js'

/** Paths are in restify's notation. */
export class RestifyRouter implements HttpRouter {
  private readonly app = restify.createServer({ name: '', log: silentLog as never })

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

  /** Restify's own server never listens; it only passes requests on. */
  serve (req: IncomingMessage, res: ServerResponse): void {
    this.app.server.emit('request', req, res)
  }
}
