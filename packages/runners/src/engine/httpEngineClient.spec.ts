/**
 * The engine client against faulty engines: which events are yielded, and which failure is reported.
 */
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { respondWith, refusingAddress, dropConnection, neverRespond, SHORT_TIMEOUT_MS, startTestServer, type TestHandler } from '@rosemaryspread/infra/http/testServer.spec.js'
import type { EngineStream } from './engineTypes.js'
import { DONE_FRAME, lastFrame, pieceFrame, REQUEST, startTestEngine, testClient, type Ending } from './testEngine.spec.js'

const OTHER_REQUEST = { id: 'req-2' }
const RECORD = { requestId: 'req-1', digest: 'd', holder: 'h', team: 't', budget: 'b', model: 'm', state: 'finished', promptTokens: 3, completionTokens: 2 }

/** Reads a stream to its end and formats it: texts, then the end or the failure. */
async function readToEnd (stream: EngineStream): Promise<string> {
  let output = ''
  try {
    for await (const event of stream.events) {
      output += event.kind === 'piece' ? event.piece.text : ` ${event.end.finishReason} ${event.end.usage.completionTokens}`
    }
    return output
  } catch (err) {
    return err instanceof Failure ? `${output} ${err.code} ${err.ran}` : String(err)
  }
}

/** Counter-example: accepts any content without checking its request id. */
async function readUnchecked (address: string): Promise<string> {
  const res = await fetch(`http://${address}/v1/chat/completions`, { method: 'POST', body: '{}' })
  const text = await res.text()
  return [...text.matchAll(/"content":"([^"]*)"/g)].map(match => match[1]).join('')
}

const streamCases: readonly [title: string, frames: readonly string[], ending: Ending, expected: string][] = [
  ['a complete answer', [pieceFrame(0, 'a'), pieceFrame(1, 'b'), lastFrame(2), DONE_FRAME], 'close', 'ab stop 2'],
  ['text in the last event', [pieceFrame(0, 'a'), lastFrame(1, { choices: [{ delta: { content: 'b' }, finish_reason: 'length' }] }), DONE_FRAME], 'close', 'ab length 2'],
  ['usage above the limit, passed on', [lastFrame(0, { usage: { prompt_tokens: 3, completion_tokens: 999 } }), DONE_FRAME], 'close', ' stop 999'],
  ['a connection left open after the end', [pieceFrame(0, 'a'), lastFrame(1), DONE_FRAME], 'hang', 'a stop 2'],
  ['a connection broken after the end', [pieceFrame(0, 'a'), lastFrame(1), DONE_FRAME], 'break', 'a stop 2'],
  ['a piece of another request', [pieceFrame(0, 'a'), pieceFrame(1, 'x', OTHER_REQUEST), lastFrame(2), DONE_FRAME], 'close', 'a answerMixed yes'],
  ['an end of another request', [pieceFrame(0, 'a'), lastFrame(1, OTHER_REQUEST), DONE_FRAME], 'close', 'a answerMixed yes'],
  ['a gap', [pieceFrame(0, 'a'), pieceFrame(2, 'c'), lastFrame(3), DONE_FRAME], 'close', 'a answerMixed yes'],
  ['a repeated piece', [pieceFrame(0, 'a'), pieceFrame(0, 'a'), lastFrame(1), DONE_FRAME], 'close', 'a answerMixed yes'],
  ['a stream that starts after the requested piece', [pieceFrame(1, 'b'), lastFrame(2), DONE_FRAME], 'close', ' answerMixed yes'],
  ['a gap before the end', [pieceFrame(0, 'a'), lastFrame(2), DONE_FRAME], 'close', 'a answerMixed yes'],
  ['a missing sequence number', [pieceFrame('', 'a'), lastFrame(1), DONE_FRAME], 'close', ' answerMixed yes'],
  ['a negative sequence number', [pieceFrame(-1, 'a'), lastFrame(1), DONE_FRAME], 'close', ' answerMixed yes'],
  ['two last events', [pieceFrame(0, 'a'), lastFrame(1), lastFrame(2), DONE_FRAME], 'close', 'a answerMixed yes'],
  ['two ends', [pieceFrame(0, 'a'), lastFrame(1), DONE_FRAME, lastFrame(1), DONE_FRAME], 'close', 'a answerMixed yes'],
  ['a piece after the last event', [lastFrame(0), pieceFrame(1, 'b'), DONE_FRAME], 'close', ' answerMixed yes'],
  ['malformed JSON', ['id: 0\ndata: {"id":"req-1"\n\n'], 'close', ' answerMixed yes'],
  ['an unknown finish reason', [lastFrame(0, { choices: [{ delta: {}, finish_reason: 'tired' }] }), DONE_FRAME], 'close', ' answerMixed yes'],
  ['missing usage', [lastFrame(0, { usage: undefined }), DONE_FRAME], 'close', ' answerMixed yes'],
  ['negative usage', [lastFrame(0, { usage: { prompt_tokens: 3, completion_tokens: -1 } }), DONE_FRAME], 'close', ' answerMixed yes'],
  ['fractional usage', [lastFrame(0, { usage: { prompt_tokens: 0.5, completion_tokens: 1 } }), DONE_FRAME], 'close', ' answerMixed yes'],
  ['closed before the last event', [pieceFrame(0, 'a')], 'close', 'a answerCut yes'],
  ['broken before the last event', [pieceFrame(0, 'a')], 'break', 'a answerCut yes'],
  ['[DONE] without a last event', [pieceFrame(0, 'a'), DONE_FRAME], 'close', 'a answerCut yes'],
  ['closed before [DONE]', [pieceFrame(0, 'a'), lastFrame(1)], 'close', 'a answerCut yes'],
  ['a truncated last event', [pieceFrame(0, 'a'), lastFrame(1).slice(0, -1)], 'close', 'a answerCut yes'],
  ['stalled between events', [pieceFrame(0, 'a')], 'hang', 'a answerCut yes'],
  ['stalled before the first event', [], 'hang', ' answerCut unknown'],
  ['closed before the first event', [], 'close', ' answerCut unknown']
]

const submitCases: readonly [title: string, handler: TestHandler, expected: string][] = [
  ['404', respondWith(404, {}), 'runnerRefused no'],
  ['429', respondWith(429, {}), 'runnerRefused no'],
  ['503', respondWith(503, {}), 'runnerRefused no'],
  ['500', respondWith(500, {}), 'runnerRefused unknown'],
  ['409', respondWith(409, {}), 'keyReused no'],
  ['410', respondWith(410, {}), 'runnerRefused no sealed'],
  ['another content type', respondWith(200, {}), 'runnerRefused unknown'],
  ['a dropped connection', dropConnection, 'runnerUnreachable unknown'],
  ['no response within the timeout', neverRespond, 'runnerUnreachable unknown']
]

function formatResult (failure: unknown): string {
  if (!(failure instanceof Failure)) return 'right'
  return `${failure.code} ${failure.ran}${failure.message === 'sealed' ? ' sealed' : ''}`
}

describe('HttpEngineClient', () => {
  for (const [title, frames, ending, expected] of streamCases) {
    it(`stream: ${title}`, async () => {
      const engine = await startTestEngine([[frames, ending]])
      const limits = ending === 'hang' ? { betweenEventsMs: SHORT_TIMEOUT_MS, ...(frames.length === 0 ? { firstEventMs: SHORT_TIMEOUT_MS } : {}) } : {}
      const stream = (await testClient(limits).submit(engine.address, REQUEST)).unsafeCoerce()
      const seen = await readToEnd(stream)
      await engine.close()
      expect(seen).to.equal(expected)
    })
  }

  it('would accept the text of another request without checking ids (counter-example)', async () => {
    const engine = await startTestEngine([[[pieceFrame(0, 'a'), pieceFrame(1, 'x', OTHER_REQUEST), lastFrame(2), DONE_FRAME], 'close']])
    expect(await readUnchecked(engine.address)).to.equal('ax')
    await engine.close()
  })

  for (const [title, handler, expected] of submitCases) {
    it(`submit: ${title} is ${expected}`, async () => {
      const engine = await startTestServer(handler)
      let isLeaving = false
      const result = await testClient(handler === neverRespond ? { firstEventMs: SHORT_TIMEOUT_MS } : {}).submit(engine.address, REQUEST, () => { isLeaving = true })
      await engine.close()
      expect([formatResult(result.extract()), isLeaving]).to.deep.equal([expected, title === '503'])
      expect(engine.calls).to.have.length(1)
    })
  }

  it('reports that nothing ran when the connection is refused', async () => {
    expect(formatResult((await testClient().submit(await refusingAddress(), REQUEST)).extract())).to.equal('runnerUnreachable no')
  })

  const loadHeaderCases: ReadonlyArray<{ readonly header: string | undefined, readonly load: object | undefined }> = [
    { header: 'running=3;waiting=12', load: { running: 3, waiting: 12 } },
    { header: undefined, load: undefined },
    { header: 'running=-1;waiting=0', load: undefined },
    { header: 'busy', load: undefined }
  ]
  for (const { header, load } of loadHeaderCases) {
    it(`parses the load header ${header}`, async () => {
      const engine = await startTestServer(res => {
        res.writeHead(200, { 'content-type': 'text/event-stream', ...(header === undefined ? {} : { 'x-engine-load': header }) })
        res.end(lastFrame(0) + DONE_FRAME)
      })
      const stream = (await testClient().submit(engine.address, REQUEST)).unsafeCoerce()
      expect(stream.load).to.deep.equal(load)
      expect(await readToEnd(stream)).to.equal(' stop 2')
      await engine.close()
    })
  }

  it('decodes characters split across packets, and reuses the connection', async () => {
    const bytes = Buffer.from(pieceFrame(0, 'Tường Sạch ñ 🌿') + lastFrame(1) + DONE_FRAME)
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
      expect(await readToEnd(stream)).to.equal('Tường Sạch ñ 🌿 stop 2')
    }
    await engine.close()
    expect(engine.connections()).to.equal(1)
  })

  it('sends the run headers and accepts a resumed stream from the requested piece or before', async () => {
    const engine = await startTestEngine([[[lastFrame(0), DONE_FRAME], 'close'], [[pieceFrame(1, 'b'), lastFrame(2), DONE_FRAME], 'close'], [[lastFrame(1), DONE_FRAME], 'close'], [[pieceFrame(3, 'd')], 'close']])
    const client = testClient()
    const seen = [await readToEnd((await client.submit(engine.address, REQUEST)).unsafeCoerce())]
    for (let tries = 0; tries < 3; tries++) seen.push(await readToEnd((await client.resume(engine.address, REQUEST.requestId, 2)).unsafeCoerce()))
    await engine.close()
    expect(seen).to.deep.equal([' stop 2', 'b stop 2', ' answerMixed yes', ' answerMixed yes'])
    expect(engine.calls[0]?.headers).to.include({ 'x-vm': 'vm-1', 'x-request-id': 'req-1', 'x-run-digest': 'd', 'x-holder': 'vm-1~a', 'x-team': 't', 'x-budget': 'b', 'x-priority': '1' })
    expect(JSON.parse(engine.calls[0]?.body ?? '')).to.include({ model: 'm', max_tokens: 10, stream: true })
    expect(engine.calls[1]?.url).to.equal('/v1/runs/req-1/events?from=2')
  })

  const client = testClient()
  const order = { orderId: 'o', fencing: 1, kind: 'load', model: 'm', version: '1' } as const
  const LOAD = { asOf: 1, running: 0, waiting: 0, slots: 1, models: [], leaving: false }
  const callCases: readonly [title: string, call: (address: string) => Promise<{ extract: () => unknown }>, handler: TestHandler, expected: string][] = [
    ['find', address => client.find(address, 'req-1'), respondWith(200, RECORD), 'right'],
    ['find without a run', address => client.find(address, 'req-1'), respondWith(404, {}), 'right'],
    ['find that returns another run', address => client.find(address, 'req-9'), respondWith(200, RECORD), 'runnerRefused unknown'],
    ['list', address => client.listByHolder(address, 'h'), respondWith(200, { runs: [RECORD] }), 'right'],
    ['list of another holder', address => client.listByHolder(address, 'i'), respondWith(200, { runs: [RECORD] }), 'runnerRefused unknown'],
    ['cancel', address => client.cancel(address, 'req-1'), respondWith(200, RECORD), 'right'],
    ['cancel without a run', address => client.cancel(address, 'req-1'), respondWith(404, {}), 'notFound unknown'],
    ['seal', address => client.seal(address, 'req-1'), respondWith(200, { sealed: true }), 'right'],
    ['seal of an existing run', address => client.seal(address, 'req-1'), respondWith(409, RECORD), 'right'],
    ['seal without confirmation', address => client.seal(address, 'req-1'), respondWith(200, {}), 'runnerRefused unknown'],
    ['seal with a dropped connection', address => client.seal(address, 'req-1'), dropConnection, 'runnerUnreachable unknown'],
    ['load', address => client.load(address), respondWith(200, LOAD), 'right'],
    ['invalid load report', address => client.load(address), respondWith(200, { ...LOAD, slots: 0 }), 'runnerRefused unknown'],
    ['cache events', address => client.cacheEvents(address, 3), respondWith(200, { next: 3, events: [] }), 'right'],
    ['order', address => client.order(address, order), respondWith(200, {}), 'right'],
    ['order with an outdated fencing number', address => client.order(address, order), respondWith(412, {}), 'leaseLost no'],
    ['order above the rate limit of the weight store', address => client.order(address, order), respondWith(429, {}), 'runnerRefused no']
  ]
  for (const [title, call, handler, expected] of callCases) {
    it(`${title}: ${expected}`, async () => {
      const engine = await startTestServer(handler)
      const result = await call(engine.address)
      await engine.close()
      expect(formatResult(result.extract())).to.equal(expected)
    })
  }
})
