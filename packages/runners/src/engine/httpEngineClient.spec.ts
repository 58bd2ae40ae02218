/**
 * The engine client against faulty engines: which events are yielded, and which failure is reported.
 */
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { answers, closedAddress, drops, hangs, SHORT_MS, startTestServer, type TestHandler } from '@rosemaryspread/infra/http/testServer.spec.js'
import type { EngineStream } from './engineTypes.js'
import { DONE, last, piece, REQUEST, startTestEngine, testClient, type Ending } from './testEngine.spec.js'

const OTHER = { id: 'req-2' }
const RECORD = { requestId: 'req-1', digest: 'd', holder: 'h', team: 't', budget: 'b', model: 'm', state: 'finished', promptTokens: 3, completionTokens: 2 }

/** Reads a stream to its end and formats it: texts, then the end or the failure. */
async function drain (stream: EngineStream): Promise<string> {
  let seen = ''
  try {
    for await (const event of stream.events) {
      seen += event.kind === 'piece' ? event.piece.text : ` ${event.end.finishReason} ${event.end.usage.completionTokens}`
    }
    return seen
  } catch (err) {
    return err instanceof Failure ? `${seen} ${err.code} ${err.ran}` : String(err)
  }
}

/** Counter-example: accepts any content without checking its request id. */
async function drainNaively (address: string): Promise<string> {
  const res = await fetch(`http://${address}/v1/chat/completions`, { method: 'POST', body: '{}' })
  const text = await res.text()
  return [...text.matchAll(/"content":"([^"]*)"/g)].map(match => match[1]).join('')
}

const streams: readonly [title: string, frames: readonly string[], ending: Ending, expected: string][] = [
  ['a complete answer', [piece(0, 'a'), piece(1, 'b'), last(2), DONE], 'close', 'ab stop 2'],
  ['text in the last event', [piece(0, 'a'), last(1, { choices: [{ delta: { content: 'b' }, finish_reason: 'length' }] }), DONE], 'close', 'ab length 2'],
  ['usage above the limit, passed on', [last(0, { usage: { prompt_tokens: 3, completion_tokens: 999 } }), DONE], 'close', ' stop 999'],
  ['a connection left open after the end', [piece(0, 'a'), last(1), DONE], 'hang', 'a stop 2'],
  ['a connection broken after the end', [piece(0, 'a'), last(1), DONE], 'break', 'a stop 2'],
  ['a piece of another request', [piece(0, 'a'), piece(1, 'x', OTHER), last(2), DONE], 'close', 'a answerMixed yes'],
  ['an end of another request', [piece(0, 'a'), last(1, OTHER), DONE], 'close', 'a answerMixed yes'],
  ['a gap', [piece(0, 'a'), piece(2, 'c'), last(3), DONE], 'close', 'a answerMixed yes'],
  ['a repeated piece', [piece(0, 'a'), piece(0, 'a'), last(1), DONE], 'close', 'a answerMixed yes'],
  ['a stream that starts after the requested piece', [piece(1, 'b'), last(2), DONE], 'close', ' answerMixed yes'],
  ['a gap before the end', [piece(0, 'a'), last(2), DONE], 'close', 'a answerMixed yes'],
  ['a missing sequence number', [piece('', 'a'), last(1), DONE], 'close', ' answerMixed yes'],
  ['a negative sequence number', [piece(-1, 'a'), last(1), DONE], 'close', ' answerMixed yes'],
  ['two last events', [piece(0, 'a'), last(1), last(2), DONE], 'close', 'a answerMixed yes'],
  ['two ends', [piece(0, 'a'), last(1), DONE, last(1), DONE], 'close', 'a answerMixed yes'],
  ['a piece after the last event', [last(0), piece(1, 'b'), DONE], 'close', ' answerMixed yes'],
  ['malformed JSON', ['id: 0\ndata: {"id":"req-1"\n\n'], 'close', ' answerMixed yes'],
  ['an unknown finish reason', [last(0, { choices: [{ delta: {}, finish_reason: 'tired' }] }), DONE], 'close', ' answerMixed yes'],
  ['missing usage', [last(0, { usage: undefined }), DONE], 'close', ' answerMixed yes'],
  ['negative usage', [last(0, { usage: { prompt_tokens: 3, completion_tokens: -1 } }), DONE], 'close', ' answerMixed yes'],
  ['fractional usage', [last(0, { usage: { prompt_tokens: 0.5, completion_tokens: 1 } }), DONE], 'close', ' answerMixed yes'],
  ['closed before the last event', [piece(0, 'a')], 'close', 'a answerCut yes'],
  ['broken before the last event', [piece(0, 'a')], 'break', 'a answerCut yes'],
  ['[DONE] without a last event', [piece(0, 'a'), DONE], 'close', 'a answerCut yes'],
  ['closed before [DONE]', [piece(0, 'a'), last(1)], 'close', 'a answerCut yes'],
  ['a truncated last event', [piece(0, 'a'), last(1).slice(0, -1)], 'close', 'a answerCut yes'],
  ['stalled between events', [piece(0, 'a')], 'hang', 'a answerCut yes'],
  ['stalled before the first event', [], 'hang', ' answerCut unknown'],
  ['closed before the first event', [], 'close', ' answerCut unknown']
]

const refusals: readonly [title: string, handler: TestHandler, expected: string][] = [
  ['404', answers(404, {}), 'runnerRefused no'],
  ['429', answers(429, {}), 'runnerRefused no'],
  ['503', answers(503, {}), 'runnerRefused no'],
  ['500', answers(500, {}), 'runnerRefused unknown'],
  ['409', answers(409, {}), 'keyReused no'],
  ['410', answers(410, {}), 'runnerRefused no sealed'],
  ['another content type', answers(200, {}), 'runnerRefused unknown'],
  ['a dropped connection', drops, 'runnerUnreachable unknown'],
  ['no response within the timeout', hangs, 'runnerUnreachable unknown']
]

function code (failure: unknown): string {
  if (!(failure instanceof Failure)) return 'right'
  return `${failure.code} ${failure.ran}${failure.message === 'sealed' ? ' sealed' : ''}`
}

describe('HttpEngineClient', () => {
  for (const [title, frames, ending, expected] of streams) {
    it(`stream: ${title}`, async () => {
      const engine = await startTestEngine([[frames, ending]])
      const limits = ending === 'hang' ? { betweenEventsMs: SHORT_MS, ...(frames.length === 0 ? { firstEventMs: SHORT_MS } : {}) } : {}
      const stream = (await testClient(limits).submit(engine.address, REQUEST)).unsafeCoerce()
      const seen = await drain(stream)
      await engine.close()
      expect(seen).to.equal(expected)
    })
  }

  it('would accept the text of another request without checking ids (counter-example)', async () => {
    const engine = await startTestEngine([[[piece(0, 'a'), piece(1, 'x', OTHER), last(2), DONE], 'close']])
    expect(await drainNaively(engine.address)).to.equal('ax')
    await engine.close()
  })

  for (const [title, handler, expected] of refusals) {
    it(`submit: ${title} is ${expected}`, async () => {
      const engine = await startTestServer(handler)
      let isLeaving = false
      const result = await testClient(handler === hangs ? { firstEventMs: SHORT_MS } : {}).submit(engine.address, REQUEST, () => { isLeaving = true })
      await engine.close()
      expect([code(result.extract()), isLeaving]).to.deep.equal([expected, title === '503'])
      expect(engine.calls).to.have.length(1)
    })
  }

  it('reports that nothing ran when the connection is refused', async () => {
    expect(code((await testClient().submit(await closedAddress(), REQUEST)).extract())).to.equal('runnerUnreachable no')
  })

  const loads: ReadonlyArray<{ readonly header: string | undefined, readonly load: object | undefined }> = [
    { header: 'running=3;waiting=12', load: { running: 3, waiting: 12 } },
    { header: undefined, load: undefined },
    { header: 'running=-1;waiting=0', load: undefined },
    { header: 'busy', load: undefined }
  ]
  for (const { header, load } of loads) {
    it(`parses the load header ${header}`, async () => {
      const engine = await startTestServer(res => {
        res.writeHead(200, { 'content-type': 'text/event-stream', ...(header === undefined ? {} : { 'x-engine-load': header }) })
        res.end(last(0) + DONE)
      })
      const stream = (await testClient().submit(engine.address, REQUEST)).unsafeCoerce()
      expect(stream.load).to.deep.equal(load)
      expect(await drain(stream)).to.equal(' stop 2')
      await engine.close()
    })
  }

  it('decodes characters split across packets, and reuses the connection', async () => {
    const bytes = Buffer.from(piece(0, 'Tường Sạch ñ 🌿') + last(1) + DONE)
    const engine = await startTestServer(res => {
      res.writeHead(200, { 'content-type': 'text/event-stream' })
      const send = (at: number): void => {
        if (at === bytes.length) res.end()
        else res.write(bytes.subarray(at, at + 1), () => send(at + 1))
      }
      send(0)
    })
    const client = testClient()
    for (let run = 0; run < 2; run++) {
      const stream = (await client.submit(engine.address, REQUEST)).unsafeCoerce()
      expect(await drain(stream)).to.equal('Tường Sạch ñ 🌿 stop 2')
    }
    await engine.close()
    expect(engine.connections()).to.equal(1)
  })

  it('sends the run headers and accepts a resumed stream from the requested piece or before', async () => {
    const engine = await startTestEngine([[[last(0), DONE], 'close'], [[piece(1, 'b'), last(2), DONE], 'close'], [[last(1), DONE], 'close'], [[piece(3, 'd')], 'close']])
    const client = testClient()
    const seen = [await drain((await client.submit(engine.address, REQUEST)).unsafeCoerce())]
    for (let tries = 0; tries < 3; tries++) seen.push(await drain((await client.resume(engine.address, REQUEST.requestId, 2)).unsafeCoerce()))
    await engine.close()
    expect(seen).to.deep.equal([' stop 2', 'b stop 2', ' answerMixed yes', ' answerMixed yes'])
    expect(engine.calls[0]?.headers).to.include({ 'x-vm': 'vm-1', 'x-request-id': 'req-1', 'x-run-digest': 'd', 'x-holder': 'vm-1~a', 'x-team': 't', 'x-budget': 'b', 'x-priority': '1' })
    expect(JSON.parse(engine.calls[0]?.body ?? '')).to.include({ model: 'm', max_tokens: 10, stream: true })
    expect(engine.calls[1]?.url).to.equal('/v1/runs/req-1/events?from=2')
  })

  const client = testClient()
  const order = { orderId: 'o', fencing: 1, kind: 'load', model: 'm', version: '1' } as const
  const LOAD = { asOf: 1, running: 0, waiting: 0, slots: 1, models: [], leaving: false }
  const calls: readonly [title: string, call: (address: string) => Promise<{ extract: () => unknown }>, handler: TestHandler, expected: string][] = [
    ['find', address => client.find(address, 'req-1'), answers(200, RECORD), 'right'],
    ['find without a run', address => client.find(address, 'req-1'), answers(404, {}), 'right'],
    ['find that returns another run', address => client.find(address, 'req-9'), answers(200, RECORD), 'runnerRefused unknown'],
    ['list', address => client.listByHolder(address, 'h'), answers(200, { runs: [RECORD] }), 'right'],
    ['list of another holder', address => client.listByHolder(address, 'i'), answers(200, { runs: [RECORD] }), 'runnerRefused unknown'],
    ['cancel', address => client.cancel(address, 'req-1'), answers(200, RECORD), 'right'],
    ['cancel without a run', address => client.cancel(address, 'req-1'), answers(404, {}), 'notFound unknown'],
    ['seal', address => client.seal(address, 'req-1'), answers(200, { sealed: true }), 'right'],
    ['seal of an existing run', address => client.seal(address, 'req-1'), answers(409, RECORD), 'right'],
    ['seal without confirmation', address => client.seal(address, 'req-1'), answers(200, {}), 'runnerRefused unknown'],
    ['seal with a dropped connection', address => client.seal(address, 'req-1'), drops, 'runnerUnreachable unknown'],
    ['load', address => client.load(address), answers(200, LOAD), 'right'],
    ['invalid load report', address => client.load(address), answers(200, { ...LOAD, slots: 0 }), 'runnerRefused unknown'],
    ['cache events', address => client.cacheEvents(address, 3), answers(200, { next: 3, events: [] }), 'right'],
    ['order', address => client.order(address, order), answers(200, {}), 'right'],
    ['order with an outdated fencing number', address => client.order(address, order), answers(412, {}), 'leaseLost no'],
    ['order above the rate limit of the weight store', address => client.order(address, order), answers(429, {}), 'runnerRefused no']
  ]
  for (const [title, call, handler, expected] of calls) {
    it(`${title}: ${expected}`, async () => {
      const engine = await startTestServer(handler)
      const result = await call(engine.address)
      await engine.close()
      expect(code(result.extract())).to.equal(expected)
    })
  }
})
