/**
 * Test helper: an HTTP server on loopback with handlers for regular and faulty responses.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'

/** Timeout where a response is expected, long enough for a busy machine. */
export const LONG_TIMEOUT_MS = 20_000

/** Timeout where no response is expected. */
export const SHORT_TIMEOUT_MS = 300

export interface ReceivedCall {
  readonly method: string
  readonly url: string
  readonly headers: IncomingMessage['headers']
  readonly body: string
}

/** Handles a call after its body was read; `index` counts calls from 0. */
export type TestHandler = (res: ServerResponse, call: ReceivedCall, index: number) => void

export interface TestServer {
  /** IPv4:port. */
  readonly address: string
  readonly calls: readonly ReceivedCall[]
  readonly connections: () => number
  readonly close: () => Promise<void>
}

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

/** An address that refuses connections. */
export async function refusingAddress (): Promise<string> {
  const server = await startTestServer(() => {})
  await server.close()
  return server.address
}

/** Creates a handler that responds with a status and a JSON body. */
export function respondWith (status: number, body: unknown, headers: Record<string, string> = {}): TestHandler {
  return res => {
    res.writeHead(status, { 'content-type': 'application/json', ...headers })
    res.end(JSON.stringify(body))
  }
}

/** Drops the connection after the whole call was received. */
export const dropConnection: TestHandler = res => { res.destroy() }

/** Drops the connection in the middle of the response. */
export const dropMidResponse: TestHandler = res => {
  res.writeHead(200, { 'content-length': '100' })
  res.write('{"rows":', () => res.destroy())
}

/** Never responds. */
export const neverRespond: TestHandler = () => {}
