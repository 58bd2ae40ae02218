/**
 * Router interface. Servers with many routes use `RestifyRouter`; servers with a few fixed paths, whose process must start
 * quickly, use `PathRouter`, which loads no library.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

export type RouteMethod = 'GET' | 'POST'

/** Handles a request; resolves once it was answered or refused. */
export type RouteHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>

/** Handles a request that matches no route. */
export type UnroutedHandler = (req: IncomingMessage, res: ServerResponse, failure: Failure) => void

/** Dispatches requests to their handlers. */
export interface HttpRouter {
  /**
   * Adds a route.
   * @param path - a segment `:name` matches any text, available to the handler as a member of the request's `params`
   */
  route (method: RouteMethod, path: string, handler: RouteHandler): void

  /** Sets the handler of requests that match no route. */
  onUnrouted (handler: UnroutedHandler): void

  /** Passes a request to its handler. */
  serve (req: IncomingMessage, res: ServerResponse): void
}
