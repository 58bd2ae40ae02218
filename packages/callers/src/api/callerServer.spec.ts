/**
 * The caller API over loopback connections, with fake services: validation, responses, streams and connection handling.
 */
import { expect } from 'chai'
import { connect, type Socket } from 'node:net'
import { request, type IncomingHttpHeaders } from 'node:http'
import { once } from 'node:events'
import { Left, Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { bodyDigest, keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import { createClientGuard } from '@rosemaryspread/http/server/clientGuard.fixture.js'
import { httpLimitsSchema, type HttpLimits } from '@rosemaryspread/http/server/httpLimits.js'
import type {
  AnswerSink, CallerDirectory, CompletionCall, ServiceAnswer, ServiceCall
} from '../completion/completionTypes.js'
import { CallerServer } from './callerServer.js'

type CompleteFunction = (call: CompletionCall, sink: AnswerSink) => Promise<void>

const usage = { promptTokens: 7, completionTokens: 2 }
const validBody = { model: 'asistente', messages: [{ role: 'user', content: '¿A qué hora sale?' }] }

const directory: CallerDirectory = {
  authenticate: (bearer) => bearer === 'good' ? Right({ team: 'manos' }) : Left(new Failure('unauthorized', 'no such key', { ran: 'no' })),
  models: () => ['asistente'],
  addresses: () => ({ version: 3, addresses: ['http://127.0.0.1:8001'], keepMs: 9900 }),
  usage: async () => Left(new Failure('platformUnavailable', 'the table is down', { ran: 'no', retryAfterMs: 1200 })),
  ready: () => Left(new Failure('draining', 'leaving', { ran: 'no', retryAfterMs: 1 })),
  metrics: () => 'requests 3\n'
}

interface RequestOptions {
  readonly method?: string
  readonly path?: string
  readonly headers?: Record<string, string>
  readonly body?: string | Buffer
}

interface Reply {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
}

interface Harness {
  readonly server: CallerServer
  readonly address: string
  readonly events: string[]
  readonly calls: ServiceCall[]
  ask (ask: RequestOptions): Promise<Reply>
  raw (): Socket
}

let openServers: CallerServer[] = []

const finishImmediately: CompleteFunction = async (call, sink) => {
  sink.begin(call.requestId ?? 'none', call.body.model)
  sink.piece('a las ')
  sink.piece('nueve')
  sink.finish('stop', usage)
}

const serviceAnswer: ServiceAnswer = {
  status: 418, contentType: 'application/x-thing', body: Buffer.from([0, 255, 10]), requestId: 'svc-1', repeated: true
}

async function startHarness (complete: CompleteFunction = finishImmediately, limits: Partial<HttpLimits> = {}): Promise<Harness> {
  const events: string[] = []
  const calls: ServiceCall[] = []
  const server = new CallerServer({
    completions: { complete },
    services: {
      call: async (call) => {
        calls.push(call)
        return call.path === '/refuse' ? Left(new Failure('notClaimed', 'no table', { ran: 'no', retryAfterMs: 2001 })) : Right(serviceAnswer)
      }
    },
    directory,
    log: { write: (event, fields) => { events.push(`${event} ${String(fields.code ?? '')}`.trim()) } },
    clients: createClientGuard(),
    limits: httpLimitsSchema.parse(limits)
  })
  openServers.push(server)
  const address = await server.listen('127.0.0.1:0')
  const port = Number(address.split(':')[1])
  return { server, address, events, calls, ask: (ask) => sendRequest(port, ask), raw: () => connect(port, '127.0.0.1') }
}

function sendRequest (port: number, ask: RequestOptions): Promise<Reply> {
  const { method = 'POST', path = '/v1/chat/completions', body = '' } = ask
  const headers = { authorization: 'Bearer good', 'content-type': 'application/json', ...ask.headers }
  return new Promise((resolve, reject) => {
    const req = request({ port, host: '127.0.0.1', method, path, headers, agent: false }, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('end', () => resolve({ status: res.statusCode ?? 0, headers: res.headers, text: Buffer.concat(chunks).toString('latin1') }))
      res.on('error', reject)
    })
    req.on('error', reject)
    req.end(body)
  })
}

function rawPost (path: string, body: string, extra = ''): string {
  const head = `POST ${path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\nContent-Type: application/json\r\n${extra}`
  return `${head}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

function sseData (text: string): string[] {
  return text.split('\n\n').filter((event) => event !== '').map((event) => event.replace(/^data: /, ''))
}

describe('CallerServer', () => {
  afterEach(async () => {
    await Promise.all(openServers.map((server) => server.close()))
    openServers = []
  })

  describe('rejects invalid input with its code and all invalid fields', () => {
    const table: ReadonlyArray<{ title: string, ask: RequestOptions, status: number, name: string, errors?: string[] }> = [
      { title: 'a missing key', ask: { headers: { authorization: '' } }, status: 401, name: 'unauthorized' },
      { title: 'an invalid key', ask: { headers: { authorization: 'Bearer bad' } }, status: 401, name: 'unauthorized' },
      { title: 'a large body without a key', ask: { headers: { authorization: '' }, body: 'x'.repeat(3_000_000) }, status: 401, name: 'unauthorized' },
      { title: 'a large body on an unknown path', ask: { path: '/v2', body: 'x'.repeat(3_000_000) }, status: 404, name: 'notFound' },
      { title: 'an unknown path', ask: { path: '/v2' }, status: 404, name: 'notFound' },
      { title: 'a path with malformed percent-encoding', ask: { path: '/v1/%zz', method: 'GET' }, status: 404, name: 'notFound' },
      { title: 'a service without a path', ask: { path: '/v1/services/jobs' }, status: 404, name: 'notFound' },
      { title: 'a wrong method', ask: { method: 'DELETE' }, status: 405, name: 'methodNotAllowed' },
      { title: 'GET on a POST route', ask: { method: 'GET' }, status: 405, name: 'methodNotAllowed' },
      { title: 'malformed JSON', ask: { body: '{"model":' }, status: 400, name: 'badRequest', errors: ['body: not JSON'] },
      { title: 'bytes that are not UTF-8', ask: { body: Buffer.from([0x22, 0xff, 0x22]) }, status: 400, name: 'badRequest', errors: ['not UTF-8'] },
      { title: 'another content type', ask: { body: 'x', headers: { 'content-type': 'text/plain' } }, status: 400, name: 'badRequest', errors: ['header Content-Type'] },
      { title: 'an encoded body', ask: { body: 'x', headers: { 'content-encoding': 'gzip' } }, status: 400, name: 'badRequest', errors: ['header Content-Encoding'] },
      {
        title: 'several invalid fields',
        ask: {
          headers: { 'idempotency-key': 'a\tb', 'x-timeout-ms': '1.5' },
          body: JSON.stringify({ model: '', messages: [{ role: 'user', content: '' }, { role: 'robot', content: 3 }], max_tokens: 0 })
        },
        status: 400,
        name: 'badRequest',
        errors: ['header Idempotency-Key', 'header X-Timeout-Ms', 'model', 'messages[1].role', 'messages[1].content', 'max_tokens']
      },
      { title: 'a key of 257 characters', ask: { headers: { 'idempotency-key': 'k'.repeat(257) }, body: JSON.stringify(validBody) }, status: 400, name: 'badRequest', errors: ['header Idempotency-Key'] },
      { title: 'an empty key', ask: { headers: { 'idempotency-key': '' }, body: JSON.stringify(validBody) }, status: 400, name: 'badRequest', errors: ['header Idempotency-Key'] },
      { title: 'a timeout of 0', ask: { headers: { 'x-timeout-ms': '0' }, body: JSON.stringify(validBody) }, status: 400, name: 'badRequest', errors: ['header X-Timeout-Ms'] },
      { title: 'a timeout over an hour', ask: { headers: { 'x-timeout-ms': '3600001' }, body: JSON.stringify(validBody) }, status: 400, name: 'badRequest', errors: ['header X-Timeout-Ms'] },
      { title: 'a body over the limit', ask: { body: 'x'.repeat(1500) }, status: 413, name: 'bodyTooLarge' },
      { title: 'a chunked body over the limit', ask: { body: 'x'.repeat(1500), headers: { 'transfer-encoding': 'chunked' } }, status: 413, name: 'bodyTooLarge' },
      { title: 'dot segments in a service path', ask: { path: '/v1/services/jobs/x/../dispatch' }, status: 400, name: 'badRequest' },
      { title: 'encoded dot segments', ask: { path: '/v1/services/jobs/x/%2e%2e/dispatch' }, status: 400, name: 'badRequest' },
      { title: 'an unnecessarily encoded letter', ask: { path: '/v1/services/jobs/%64ispatch' }, status: 400, name: 'badRequest' },
      { title: 'a double slash', ask: { path: '/v1/services/jobs//dispatch' }, status: 400, name: 'badRequest' },
      { title: 'a backslash', ask: { path: '/v1/services/jobs/x\\dispatch' }, status: 400, name: 'badRequest' }
    ]
    for (const row of table) {
      it(row.title, async () => {
        const { ask, calls } = await startHarness(finishImmediately, { bodyBytes: 1000 })
        const reply = await ask(row.ask)
        const problem = JSON.parse(reply.text)
        expect([reply.status, problem.name, problem.ran]).to.deep.equal([row.status, row.name, 'no'])
        expect(reply.headers['content-type']).to.equal('application/problem+json')
        expect(reply.headers['x-request-id']).to.match(/^[0-9a-f]{32}$/)
        expect(calls).to.deep.equal([])
        const errors: string[] = problem.errors ?? []
        expect(errors.length).to.be.at.least(row.errors?.length ?? 0)
        for (const path of row.errors ?? []) expect(errors.some((text) => text.includes(path)), path).to.equal(true)
      })
    }
  })

  describe('serves the query routes', () => {
    const table: ReadonlyArray<{ path: string, key?: boolean, status: number, body: unknown, headers?: Record<string, string> }> = [
      { path: '/v1/models', status: 200, body: { object: 'list', data: [{ id: 'asistente', object: 'model', owned_by: 'rosemaryspread' }] } },
      { path: '/v1/addresses', key: false, status: 200, body: directory.addresses(), headers: { 'cache-control': 'max-age=9' } },
      { path: '/healthz', key: false, status: 200, body: { live: true } },
      { path: '/readyz', key: false, status: 503, body: undefined, headers: { 'retry-after': '1' } },
      { path: '/v1/usage', status: 503, body: undefined, headers: { 'retry-after': '2' } },
      { path: '/v1/usage', key: false, status: 401, body: undefined, headers: { 'www-authenticate': 'Bearer' } },
      { path: '/v1/models', key: false, status: 401, body: undefined }
    ]
    for (const row of table) {
      it(`${row.path} ${row.status}`, async () => {
        const { ask } = await startHarness()
        const reply = await ask({ method: 'GET', path: row.path, headers: row.key === false ? { authorization: '' } : {} })
        expect(reply.status).to.equal(row.status)
        if (row.body !== undefined) expect(JSON.parse(reply.text)).to.deep.equal(row.body)
        expect(reply.headers).to.include(row.headers ?? {})
      })
    }

    const ignoredHeaders: ReadonlyArray<Record<string, string>> = [
      { connection: 'Upgrade, HTTP2-Settings', upgrade: 'h2c', 'http2-settings': 'AAMAAABk' },
      { expect: '100-continue' }
    ]
    for (const headers of ignoredHeaders) {
      it(`serves a completion when the caller sends ${JSON.stringify(headers)}`, async () => {
        const { ask } = await startHarness()
        const reply = await ask({ body: JSON.stringify(validBody), headers })
        expect([reply.status, reply.text.includes('a las nueve')]).to.deep.equal([200, true])
      })
    }

    it('/metrics 200', async () => {
      const { ask } = await startHarness()
      const reply = await ask({ method: 'GET', path: '/metrics' })
      expect([reply.status, reply.text]).to.deep.equal([200, 'requests 3\n'])
    })
  })

  describe('completions', () => {
    it('passes digest, idempotency key and timeout to the service', async () => {
      let seen: CompletionCall | undefined
      const { ask } = await startHarness(async (call, sink) => {
        seen = call
        await finishImmediately(call, sink)
      })
      const body = JSON.stringify({ ...validBody, unknown: 1 })
      const reply = await ask({ body, headers: { 'idempotency-key': 'k 1', 'x-timeout-ms': '2500', 'content-type': 'application/json; charset=UTF-8' } })
      const requestId = keyedRequestId('manos', 'k 1')
      expect(seen).to.include({ digest: bodyDigest(body), idempotencyKey: 'k 1', timeoutMs: 2500, requestId })
      expect(seen?.body).to.deep.equal({ ...validBody, stream: false })
      expect(reply.headers['x-request-id']).to.equal(requestId)
      expect(JSON.parse(reply.text)).to.deep.include({
        id: requestId,
        object: 'chat.completion',
        choices: [{ index: 0, message: { role: 'assistant', content: 'a las nueve' }, finish_reason: 'stop' }],
        usage: { prompt_tokens: 7, completion_tokens: 2, total_tokens: 9 }
      })
    })

    it('streams role, content, finish reason with usage, and [DONE]', async () => {
      const { ask } = await startHarness()
      const reply = await ask({ body: JSON.stringify({ ...validBody, stream: true }) })
      const data = sseData(reply.text)
      const chunks = data.slice(0, -1).map((text) => JSON.parse(text))
      expect(reply.headers['content-type']).to.match(/^text\/event-stream/)
      expect(data.at(-1)).to.equal('[DONE]')
      expect(chunks.map((chunk) => chunk.choices[0])).to.deep.equal([
        { index: 0, delta: { role: 'assistant', content: '' }, finish_reason: null },
        { index: 0, delta: { content: 'a las ' }, finish_reason: null },
        { index: 0, delta: { content: 'nueve' }, finish_reason: null },
        { index: 0, delta: {}, finish_reason: 'stop' }
      ])
      expect(chunks.at(-1).usage).to.deep.equal({ prompt_tokens: 7, completion_tokens: 2, total_tokens: 9 })
      expect(new Set(chunks.map((chunk) => chunk.id))).to.deep.equal(new Set([reply.headers['x-request-id']]))
    })

    const cutFailure = new Failure('answerCut', 'the runner disconnected', { ran: 'unknown', retryAfterMs: 10 })
    const endings: ReadonlyArray<{ title: string, complete: CompleteFunction, name: string, ran: string }> = [
      { title: 'the service fails', complete: async (_, sink) => sink.fail(cutFailure), name: 'answerCut', ran: 'unknown' },
      { title: 'the service throws', complete: async () => { throw new Error('bug') }, name: 'internal', ran: 'unknown' },
      { title: 'the service returns without an answer', complete: async () => undefined, name: 'internal', ran: 'unknown' },
      { title: 'the service continues after its failure', complete: async (_, sink) => { sink.fail(cutFailure); sink.piece('x'); sink.finish('stop', usage) }, name: 'answerCut', ran: 'unknown' }
    ]
    for (const row of endings) {
      it(`${row.title} before the stream has started: problem response`, async () => {
        for (const stream of [true, false]) {
          const { ask } = await startHarness(row.complete)
          const reply = await ask({ body: JSON.stringify({ ...validBody, stream }) })
          const problem = JSON.parse(reply.text)
          expect([reply.status, problem.name, problem.ran]).to.deep.equal([problem.status, row.name, row.ran])
        }
      })

      it(`${row.title} during the stream: error event without [DONE]`, async () => {
        const { ask } = await startHarness(async (call, sink) => {
          sink.begin('r1', 'asistente')
          sink.piece('a ')
          await row.complete(call, sink)
        })
        const reply = await ask({ body: JSON.stringify({ ...validBody, stream: true }) })
        const last = reply.text.split('\n\n').at(-2) ?? ''
        expect(last.startsWith('event: error\ndata: ')).to.equal(true)
        expect(JSON.parse(last.slice('event: error\ndata: '.length))).to.include({ name: row.name, ran: row.ran })
        expect(reply.text).to.not.include('[DONE]')
      })
    }

    it('sends no partial text of a buffered answer that failed', async () => {
      const { ask } = await startHarness(async (_, sink) => { sink.begin('r', 'm'); sink.piece('secret'); sink.fail(cutFailure) })
      const reply = await ask({ body: JSON.stringify(validBody) })
      expect([reply.status, reply.text.includes('secret')]).to.deep.equal([502, false])
    })

    for (const stream of [true, false]) {
      it(`aborts the call when the caller disconnects (stream ${stream})`, async () => {
        let notifyAborted = (): void => undefined
        const aborted = new Promise<void>((resolve) => { notifyAborted = resolve })
        let started = (): void => undefined
        const running = new Promise<void>((resolve) => { started = resolve })
        const { raw, server } = await startHarness(async (call, sink) => {
          sink.begin('r', 'm')
          sink.piece('x')
          started()
          if (!call.gone.aborted) await once(call.gone, 'abort')
          notifyAborted()
          sink.piece('y')
          sink.fail(new Failure('callerGone', 'gone', { ran: 'yes' }))
        })
        const socket = raw()
        socket.write(rawPost('/v1/chat/completions', JSON.stringify({ ...validBody, stream })))
        await running
        socket.destroy()
        await aborted
        await server.close()
        expect(server.openRequests()).to.equal(0)
      })
    }

    it('does not abort the call after a completed answer', async () => {
      let call: CompletionCall | undefined
      const { ask, server } = await startHarness(async (received, sink) => { call = received; await finishImmediately(received, sink) })
      await ask({ body: JSON.stringify(validBody) })
      await server.close()
      expect(call?.gone.aborted).to.equal(false)
    })

    it('aborts the stream and the run of a caller that does not read', async () => {
      let stop = (): void => undefined
      const stopped = new Promise<void>((resolve) => { stop = resolve })
      const { raw, events } = await startHarness(async (call, sink) => {
        sink.begin('r', 'm')
        while (!call.gone.aborted) {
          sink.piece('x'.repeat(65_536))
          await new Promise(setImmediate)
        }
        sink.fail(new Failure('callerGone', 'gone', { ran: 'no' }))
        stop()
      }, { bufferedBytes: 200_000 })
      const socket = raw()
      socket.pause()
      socket.write(rawPost('/v1/chat/completions', JSON.stringify({ ...validBody, stream: true })))
      while (events.length === 0) await new Promise(setImmediate)
      expect(events).to.deep.equal(['requestFailed callerSlow'])
      await stopped
      let text = ''
      socket.setEncoding('utf8')
      socket.on('data', (data: string) => { text += data }).resume()
      await once(socket, 'close')
      expect(text).to.include('event: error').and.to.include('"callerSlow"').and.not.include('[DONE]')
    })
  })

  describe('services', () => {
    it('passes body, path, query and response through unchanged', async () => {
      const { ask, calls } = await startHarness()
      const body = Buffer.from([0, 1, 255, 13, 10])
      const path = "/v1/services/jobs/crews/a%2Fb?name=O'Neil&x=%41"
      const reply = await ask({ path, body, headers: { 'content-type': 'image/x', 'idempotency-key': 'k' } })
      expect(calls).to.have.length(1)
      expect(calls[0]).to.deep.include({
        caller: { team: 'manos' },
        service: 'jobs',
        method: 'POST',
        path: "/crews/a%2Fb?name=O'Neil&x=%41",
        contentType: 'image/x',
        body,
        digest: bodyDigest(body),
        idempotencyKey: 'k'
      })
      expect([reply.status, reply.text]).to.deep.equal([418, '\x00\xff\n'])
      expect(reply.headers).to.include({ 'content-type': 'application/x-thing', 'x-request-id': 'svc-1', 'idempotent-replayed': 'true' })
    })

    it('rounds Retry-After up to whole seconds', async () => {
      const { ask } = await startHarness()
      const reply = await ask({ path: '/v1/services/jobs/refuse', method: 'GET' })
      expect([reply.status, reply.headers['retry-after'], JSON.parse(reply.text).name]).to.deep.equal([503, '3', 'notClaimed'])
    })
  })

  describe('connections', () => {
    it('responds to malformed HTTP with a problem and closes the connection', async () => {
      const { raw } = await startHarness()
      const socket = raw()
      let text = ''
      socket.setEncoding('utf8').on('data', (data: string) => { text += data })
      socket.write('HELLO\r\n\r\n')
      await once(socket, 'close')
      expect(text).to.match(/^HTTP\/1.1 400 /).and.to.include('"RS-101"')
    })

    it('rejects a request before its body arrives and serves the next one on the same connection', async () => {
      const { raw } = await startHarness()
      const socket = raw()
      const received: string[] = []
      socket.setEncoding('utf8').on('data', (data: string) => { received.push(data) })
      socket.write('POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345')
      while (!received.join('').includes('"RS-102"')) await once(socket, 'data')
      socket.write('67890GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n')
      while (!received.join('').includes('{"live":true}')) await once(socket, 'data')
      socket.destroy()
    })

    const incompleteRequests: ReadonlyArray<{ title: string, sent: string, answer: RegExp }> = [
      { title: 'nothing', sent: '', answer: /^$/ },
      { title: 'partial headers', sent: 'GET /healthz HTTP/1.1\r\nHost', answer: /^$/ },
      { title: 'a partial body', sent: rawPost('/v1/chat/completions', '{}').slice(0, -1), answer: /^HTTP\/1.1 400 [^]*Connection: close[^]*"RS-101"/ }
    ]
    for (const { title, sent, answer } of incompleteRequests) {
      it(`closes within the request timeout when a caller has sent ${title} and stays connected`, async () => {
        const { raw, ask, server } = await startHarness(finishImmediately, { headersMs: 100, requestMs: 100 })
        const socket = raw()
        const ended = once(socket, 'close')
        const received: string[] = []
        socket.setEncoding('utf8').on('data', (data: string) => { received.push(data) }).on('error', () => undefined)
        await once(socket, 'connect')
        if (sent !== '') socket.write(sent)
        await ask({ method: 'GET', path: '/healthz' })
        while (sent.includes('POST') && server.openRequests() === 0 && received.length === 0) await new Promise(setImmediate)
        await server.close()
        await ended
        expect(received.join('')).to.match(answer)
      })
    }

    it('serves requests while lingering and closes their connections', async () => {
      const { raw, server } = await startHarness()
      const socket = raw()
      let text = ''
      socket.setEncoding('utf8').on('data', (data: string) => { text += data })
      const ended = once(socket, 'close')
      server.linger()
      socket.write(rawPost('/v1/chat/completions', JSON.stringify(validBody)))
      await ended
      expect(text).to.match(/^HTTP\/1.1 200 [^]*Connection: close/)
    })

    it('on close, completes the open stream, refuses new connections and closes the keep-alive connection', async () => {
      let resume = (): void => undefined
      const resumed = new Promise<void>((resolve) => { resume = resolve })
      let started = (): void => undefined
      const running = new Promise<void>((resolve) => { started = resolve })
      const { raw, ask, server } = await startHarness(async (call, sink) => {
        sink.begin('r', 'm')
        sink.piece('a las ')
        started()
        await resumed
        sink.piece('nueve')
        sink.finish('stop', usage)
      })
      const socket = raw()
      let text = ''
      socket.setEncoding('utf8').on('data', (data: string) => { text += data })
      const ended = once(socket, 'close')
      socket.write(rawPost('/v1/chat/completions', JSON.stringify({ ...validBody, stream: true })))
      await running
      const closed = server.close()
      expect(server.openRequests()).to.equal(1)
      const late = await ask({ body: JSON.stringify(validBody) }).then(() => 'answered', (err: NodeJS.ErrnoException) => err.code)
      expect(late).to.equal('ECONNREFUSED')
      resume()
      await ended
      expect(text).to.include('nueve').and.to.include('[DONE]')
      await closed
      expect(server.openRequests()).to.equal(0)
    })
  })
})
