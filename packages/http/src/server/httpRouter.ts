/**
 * Router interface. Servers with many routes use `RestifyRouter`; servers with a few fixed paths, whose process must start
 * quickly, use `PathRouter`, which loads no library.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

export type RouteMethod = 'GET' | 'POST'

/** Handles a request; resolves once it was answered or refused. */
export type RouteHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>

/** Handles a request that matches no route. */
export type UnroutedHandler = (req: IncomingMessage, res: ServerResponse, failure: Failure) => void

/** Dispatches requests to their handlers. */
export interface HttpRouter {
  /** The underlying Node server; the router adds no listeners for `clientError` and `upgrade`. */
  readonly nodeServer: Server

  /**
   * Adds a route.
   * @param path - a segment `:name` matches any text, available to the handler as a member of the request's `params`
   */
  route (method: RouteMethod, path: string, handler: RouteHandler): void

  /** Sets the handler of requests that match no route. */
  onUnrouted (handler: UnroutedHandler): void

  /**
   * Starts listening; rejects when the address cannot be bound.
   * @param host - IPv4 address
   * @param port - 0 selects any free port
   * @param backlog - maximum number of connections that wait to be accepted
   */
  listen (host: string, port: number, backlog: number): Promise<void>
}
