/**
 * Router with a linear list of paths, for servers with few routes. It loads no library, so its process starts faster.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
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
  readonly node: Server = createServer((req, res) => { this.serve(req, res) })
  private readonly routes: PathRoute[] = []
  private unrouted: UnroutedHandler = (_req, res) => { res.destroy() }

  route (method: RouteMethod, path: string, handler: RouteHandler): void {
    this.routes.push({ method, segments: segmentsOf(path), handler })
  }

  onUnrouted (handler: UnroutedHandler): void {
    this.unrouted = handler
  }

  listen (host: string, port: number, waiting: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.node.once('error', reject)
      this.node.listen({ host, port, backlog: waiting }, () => {
        this.node.off('error', reject)
        resolve()
      })
    })
  }

  private serve (req: RoutedRequest, res: ServerResponse): void {
    const matches = this.matchesOf(pathOf(req))
    const found = matches.find(({ route }) => route.method === req.method)
    if (found === undefined) {
      this.unrouted(req, res, failureOf(req, matches))
      return
    }
    req.params = found.params
    found.route.handler(req, res).catch((err: unknown) => { res.destroy(err as Error) })
  }

  private matchesOf (path: string): readonly PathMatch[] {
    const segments = segmentsOf(path)
    return this.routes.flatMap(route => {
      const params = paramsOf(route.segments, segments)
      return params === undefined ? [] : [{ route, params }]
    })
  }
}

function failureOf (req: IncomingMessage, matches: readonly PathMatch[]): Failure {
  const path = pathOf(req)
  if (matches.length === 0) return new Failure('notFound', `${path} does not exist`)
  return new Failure('methodNotAllowed', `${req.method ?? 'this method'} is not allowed on ${path}`)
}

function pathOf (req: IncomingMessage): string {
  return (req.url ?? '/').split('?', 1)[0] ?? '/'
}

function segmentsOf (path: string): readonly string[] {
  return path.split('/').slice(1)
}

function paramsOf (pattern: readonly string[], segments: readonly string[]): PathParams | undefined {
  if (pattern.length !== segments.length) return undefined
  const params: Record<string, string> = {}
  for (const [index, part] of pattern.entries()) {
    const value = decoded(segments[index] ?? '')
    if (value === undefined) return undefined
    if (part.startsWith(':')) params[part.slice(1)] = value
    else if (part !== value) return undefined
  }
  return params
}

/** Returns undefined for invalid percent-encoding. */
function decoded (text: string): string | undefined {
  try {
    return decodeURIComponent(text)
  } catch {
    return undefined
  }
}
