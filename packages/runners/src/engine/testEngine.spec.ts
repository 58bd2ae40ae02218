/**
 * Test helpers: SSE frames of an engine, and an engine server that sends scripted frames.
 */
import type { ServerResponse } from 'node:http'
import { LONG_TIMEOUT_MS, startTestServer, type TestServer } from '@rosemaryspread/infra/http/testServer.spec.js'
import { HttpEngineClient, type EngineClientSettings } from './httpEngineClient.js'
import type { EngineRequest } from './engineTypes.js'

export const REQUEST: EngineRequest = {
  requestId: 'req-1',
  digest: 'd',
  holder: 'vm-1~a',
  team: 't',
  budget: 'b',
  model: 'm',
  messages: [{ role: 'user', content: 'Allillanchu?' }],
  maxTokens: 10,
  priority: 1
}

const USAGE = { prompt_tokens: 3, completion_tokens: 2 }

function frame (sequence: number | string, choice: object, rest: object): string {
  const data = { id: REQUEST.requestId, model: 'm', choices: [{ index: 0, ...choice }], ...rest }
  return `id: ${sequence}\ndata: ${JSON.stringify(data)}\n\n`
}

/** SSE frame of one piece; `rest` overrides members of the data. */
export const pieceFrame = (sequence: number | string, content: string, rest: object = {}): string =>
  frame(sequence, { delta: { content }, finish_reason: null }, rest)

/** SSE frame of the last event; `rest` overrides members of the data. */
export const lastFrame = (sequence: number | string, rest: object = {}): string =>
  frame(sequence, { delta: {}, finish_reason: 'stop' }, { usage: USAGE, ...rest })

export const DONE_FRAME = 'data: [DONE]\n\n'

/** How the connection ends after the frames. */
export type Ending = 'close' | 'break' | 'hang'

/** Script of one connection: frames, a refusing status, or no response at all. */
export type Connection = readonly [frames: readonly string[], ending: Ending] | number | 'drop' | 'hang'

function sendStream (res: ServerResponse, frames: readonly string[], ending: Ending): void {
  res.writeHead(200, { 'content-type': 'text/event-stream', 'x-run-holder': REQUEST.holder })
  res.write(': hello\n\n')
  res.write(frames.join(''), () => {
    if (ending === 'close') res.end()
    if (ending === 'break') res.destroy()
  })
}

function serveConnection (res: ServerResponse, connection: Connection): void {
  if (connection === 'drop') res.destroy()
  if (typeof connection === 'number') res.writeHead(connection)
  if (typeof connection === 'number') res.end()
  if (Array.isArray(connection)) sendStream(res, ...connection as [readonly string[], Ending])
}

/** Starts an engine that serves the scripted connections in order and repeats the last one. */
export function startTestEngine (script: readonly Connection[]): Promise<TestServer> {
  return startTestServer((res, call, index) => serveConnection(res, script[Math.min(index, script.length - 1)] ?? 'drop'))
}

/** Creates a client with long timeouts, which matter only where the engine hangs. */
export function testClient (limits: Partial<EngineClientSettings> = {}): HttpEngineClient {
  const longTimeouts = { connectMs: LONG_TIMEOUT_MS, callMs: LONG_TIMEOUT_MS, firstEventMs: LONG_TIMEOUT_MS, betweenEventsMs: LONG_TIMEOUT_MS, afterEndMs: 50 }
  return new HttpEngineClient({ vm: 'vm-1', ...longTimeouts, ...limits })
}
