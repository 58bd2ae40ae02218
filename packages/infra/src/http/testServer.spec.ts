/**
 * A small HTTP server for specs, whose handler misbehaves as the case demands.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'

/** Limit in milliseconds where an answer comes, so long that a busy machine keeps to it. */
export const AMPLE_MS = 20_000

/** Limit in milliseconds where none comes. */
export const SHORT_MS = 300

/** What the server received. */
export interface ReceivedCall {
  readonly method: string
  readonly url: string
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

/** Handles a call whose body was read whole; `index` counts calls from 0. */
export type TestHandler = (res: ServerResponse, call: ReceivedCall, index: number) => void

/** A server that listens on loopback. */
export interface TestServer {
  /** IPv4:port. */
  readonly address: string
  readonly calls: readonly ReceivedCall[]
  readonly connections: () => number
  readonly close: () => Promise<void>
}

/** Starts a server. */
export async function startTestServer (handler: TestHandler): Promise<TestServer> {
  const calls: ReceivedCall[] = []
  let connections = 0
  const server = createServer(async (req, res) => {
    const body = await text(req).catch(() => '')
    const call = { method: req.method ?? '', url: req.url ?? '', headers: req.headers, body }
    handler(res, call, calls.push(call) - 1)
  })
  server.on('connection', () => { connections++ })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const close = async (): Promise<void> => {
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }
  return { address: `127.0.0.1:${port}`, calls, connections: () => connections, close }
}

/** An address on which nobody listens. */
export async function closedAddress (): Promise<string> {
  const server = await startTestServer(() => {})
  await server.close()
  return server.address
}

/** Handler that answers with a status and a JSON body. */
export function answers (status: number, body: unknown, headers: Record<string, string> = {}): TestHandler {
  return res => {
    res.writeHead(status, { 'content-type': 'application/json', ...headers })
    res.end(JSON.stringify(body))
  }
}

/** Handler that drops the connection after the call was received whole. */
export const drops: TestHandler = res => { res.destroy() }

/** Handler that drops the connection in the middle of its answer. */
export const breaksOff: TestHandler = res => {
  res.writeHead(200, { 'content-length': '100' })
  res.write('{"rows":', () => res.destroy())
}

/** Handler that never answers. */
export const hangs: TestHandler = () => {}
