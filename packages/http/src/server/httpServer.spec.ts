/**
 * Behaviour that must be the same with each router: `listen` returns the bound address, an address in use rejects instead of
 * crashing the process, and each request reaches its handler or is answered with a numbered problem.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import got from 'got'
import { Left, Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { createClientGuard } from './clientGuard.fixture.js'
import { httpLimitsSchema, type HttpLimits } from './httpLimits.js'
import type { HttpRouter, RouteMethod } from './httpRouter.js'
import { HttpServer } from './httpServer.js'
import { PathRouter } from './pathRouter.js'
import { RestifyRouter } from './restifyRouter.js'

const routers: ReadonlyArray<{ readonly name: string, readonly make: () => HttpRouter }> = [
  { name: 'restify', make: () => new RestifyRouter() },
  { name: 'paths', make: () => new PathRouter() }
]

interface RequestCase {
  readonly title: string
  readonly method: RouteMethod | 'DELETE'
  readonly path: string
  readonly status: number
  /** Members that the response body must include. */
  readonly body: object
}

const requests: readonly RequestCase[] = [
  { title: 'a plain path', method: 'GET', path: '/plain', status: 200, body: { route: 'plain' } },
  { title: 'a path with a query', method: 'GET', path: '/plain?name=a&zone=b', status: 200, body: { route: 'plain' } },
  { title: 'a named segment', method: 'POST', path: '/things/a%20b/lift', status: 200, body: { name: 'a b' } },
  { title: 'a failure returned by the handler', method: 'GET', path: '/refused', status: 404, body: { code: 'RS-104' } },
  { title: 'an error thrown by the handler', method: 'GET', path: '/faulty', status: 500, body: { code: 'RS-799' } },
  { title: 'an unknown path', method: 'GET', path: '/unknown', status: 404, body: { code: 'RS-104' } },
  { title: 'a longer path', method: 'GET', path: '/plain/more', status: 404, body: { code: 'RS-104' } },
  { title: 'a method without a route', method: 'DELETE', path: '/plain', status: 405, body: { code: 'RS-106' } },
  { title: 'invalid percent-encoding', method: 'POST', path: '/things/%E0%A4%A/lift', status: 404, body: {} }
]

/** Connections of a server that has few. */
const PLACES = 2

function createServerWithRoutes (router: HttpRouter, limits: Partial<HttpLimits> = {}): HttpServer {
  const server = new HttpServer({ name: 'spec', log: { write: () => {} }, clients: createClientGuard(), limits: httpLimitsSchema.parse(limits) }, router)
  server.route('GET', '/plain', async exchange => Right(exchange.sendJson(200, { route: 'plain' })))
  server.route('POST', '/things/:name/lift', async exchange => Right(exchange.sendJson(200, { name: exchange.params.name })))
  server.route('GET', '/refused', async () => Left(new Failure('notFound', 'there is none', { ran: 'no' })))
  server.route('GET', '/faulty', async () => { throw new Error('broken') })
  return server
}

for (const { name, make } of routers) {
  describe(`an HTTP server over ${name}`, () => {
    it('returns the bound address', async () => {
      const server = createServerWithRoutes(make())
      expect(await server.listen('127.0.0.1:0')).to.match(/^127\.0\.0\.1:[1-9]\d*$/)
      await server.close()
    })

    it('does not report a request that is handled as not executed if malformed bytes follow it', async () => {
      const server = createServerWithRoutes(make())
      const isHandled = new Promise<void>(resolve => {
        server.route('GET', '/slow', async exchange => {
          resolve()
          await pause(100)
          return Right(exchange.sendJson(200, { route: 'slow' }))
        })
      })
      const [host = '', port = ''] = (await server.listen('127.0.0.1:0')).split(':')
      const socket = connect(Number(port), host)
      socket.write('GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
      await isHandled
      socket.write('malformed\r\n\r\n')
      const received = (await socket.toArray()).join('')
      await server.close()
      expect(received).to.match(/^HTTP\/1\.1 400 /)
      expect(received).to.include('"ran":"unknown"')
    })

    it('closes connections between two requests to accept new ones, and new ones if all have a request', async () => {
      const server = createServerWithRoutes(make(), { connections: PLACES })
      server.route('GET', '/never', () => new Promise(() => {}))
      const [host = '', port = ''] = (await server.listen('127.0.0.1:0')).split(':')
      const sockets: Socket[] = []
      const ask = async (path: string): Promise<string> => {
        const socket = connect(Number(port), host)
        sockets.push(socket)
        socket.on('error', () => {})
        socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`)
        return await Promise.race([once(socket, 'data').then(([bytes]) => String(bytes).slice(9, 12)), once(socket, 'close').then(() => 'closed'), pause(200).then(() => 'open')])
      }
      const received: string[] = []
      for (const path of ['/plain', '/plain', '/plain', '/never', '/never', '/plain']) received.push(await ask(path))
      for (const socket of sockets) socket.destroy()
      await server.close()
      expect(received).to.deep.equal(['200', '200', '200', 'open', 'open', 'closed'])
    })

    it('rejects when the address is in use', async () => {
      const occupyingServer = createServer().listen(0, '127.0.0.1')
      await once(occupyingServer, 'listening')
      const { port } = occupyingServer.address() as AddressInfo
      const outcome = await createServerWithRoutes(make()).listen(`127.0.0.1:${port}`).catch((err: NodeJS.ErrnoException) => err.code)
      occupyingServer.close()
      expect(outcome).to.equal('EADDRINUSE')
    })

    for (const { title, method, path, status, body } of requests) {
      it(`answers ${title}`, async () => {
        const server = createServerWithRoutes(make())
        const address = await server.listen('127.0.0.1:0')
        const res = await got(`http://${address}${path}`, { method, throwHttpErrors: false, retry: { limit: 0 } })
        await server.close()
        expect(res.statusCode).to.equal(status)
        expect(JSON.parse(res.body)).to.include(body)
      })
    }
  })
}
