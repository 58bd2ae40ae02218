/**
 * Router with a linear list of paths, for servers with few routes. It loads no library, so its process starts faster.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { HttpRouter, RouteHandler, RouteMethod, UnroutedHandler } from './httpRouter.js'

/** Values of the named path segments. */
type PathParams = Readonly<Record<string, string>>

interface PathRoute {
  readonly method: RouteMethod
  readonly segments: readonly string[]
  readonly handler: RouteHandler
}

/** A route that matches a path, regardless of the method. */
interface PathMatch {
  readonly route: PathRoute
  readonly params: PathParams
}

/** A request with its path parameters. */
interface RoutedRequest extends IncomingMessage {
  params?: PathParams
}

export class PathRouter implements HttpRouter {
  private readonly routes: PathRoute[] = []
  private unroutedHandler: UnroutedHandler = (_req, res) => { res.destroy() }

  route (method: RouteMethod, path: string, handler: RouteHandler): void {
    this.routes.push({ method, segments: splitPath(path), handler })
  }

  onUnrouted (handler: UnroutedHandler): void {
    this.unroutedHandler = handler
  }

  serve (req: RoutedRequest, res: ServerResponse): void {
    const matches = this.findMatches(requestPath(req))
    const match = matches.find(({ route }) => route.method === req.method)
    if (match === undefined) {
      this.unroutedHandler(req, res, routingFailure(req, matches))
      return
    }
    req.params = match.params
    match.route.handler(req, res).catch((err: unknown) => { res.destroy(err as Error) })
  }

  private findMatches (path: string): readonly PathMatch[] {
    const segments = splitPath(path)
    return this.routes.flatMap(route => {
      const params = matchSegments(route.segments, segments)
      return params === undefined ? [] : [{ route, params }]
    })
  }
}

function routingFailure (req: IncomingMessage, matches: readonly PathMatch[]): Failure {
  const path = requestPath(req)
  if (matches.length === 0) return new Failure('notFound', `${path} does not exist`, { ran: 'no' })
  return new Failure('methodNotAllowed', `${req.method ?? 'this method'} is not allowed on ${path}`, { ran: 'no' })
}

function requestPath (req: IncomingMessage): string {
  return (req.url ?? '/').split('?', 1)[0] ?? '/'
}

function splitPath (path: string): readonly string[] {
  return path.split('/').slice(1)
}

function matchSegments (pattern: readonly string[], segments: readonly string[]): PathParams | undefined {
  if (pattern.length !== segments.length) return undefined
  const params: Record<string, string> = {}
  for (const [index, patternSegment] of pattern.entries()) {
    const value = decodeSegment(segments[index] ?? '')
    if (value === undefined) return undefined
    if (patternSegment.startsWith(':')) params[patternSegment.slice(1)] = value
    else if (patternSegment !== value) return undefined
  }
  return params
}

/** Returns undefined for invalid percent-encoding. */
function decodeSegment (text: string): string | undefined {
  try {
    return decodeURIComponent(text)
  } catch {
    return undefined
  }
}
