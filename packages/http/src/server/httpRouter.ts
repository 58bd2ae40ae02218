/**
 * What leads a request to its handler. Servers with many routes use restify's router; one with a
 * few fixed paths, whose process must start quickly, uses `PathRouter` and loads nothing else.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Methods that routes are made for. */
export type RouteMethod = 'GET' | 'POST'

/** Answers a request; resolves once it was answered or refused. */
export type RouteHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>

/** Takes a request that no route fits. */
export type UnroutedHandler = (req: IncomingMessage, res: ServerResponse, failure: Failure) => void

/** Finds the route of a request. */
export interface HttpRouter {
  /** Node's server; it has no listeners of its own for `clientError` and `upgrade`. */
  readonly node: Server

  /**
   * Adds a route.
   * @param method - HTTP method
   * @param path - path; a segment `:name` takes any text, which the handler finds in `params` of the request
   * @param handler - answers the requests
   */
  route (method: RouteMethod, path: string, handler: RouteHandler): void

  /**
   * Says who takes requests that no route fits.
   * @param handler - refuses them
   */
  onUnrouted (handler: UnroutedHandler): void

  /**
   * Listens; rejects when the address cannot be had.
   * @param host - IPv4 address
   * @param port - port; 0 takes any free one
   * @param waiting - connections that may wait to be taken
   */
  listen (host: string, port: number, waiting: number): Promise<void>
}
