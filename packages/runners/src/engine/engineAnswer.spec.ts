/**
 * Guards against duplicated or missing text when the connection breaks and the run is resumed.
 */
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { closedAddress, SHORT_MS } from '@rosemaryspread/infra/http/testServer.spec.js'
import { streamWhole, type StreamWholeOptions } from './engineAnswer.js'
import { DONE, last, piece, REQUEST, startTestEngine, testClient, type Connection } from './testEngine.spec.js'

const OPTIONS: StreamWholeOptions = { resumes: 2, pauseMs: 1, pause: async () => {} }
const OTHER = { id: 'req-2' }
const whole = [piece(0, 'a'), piece(1, 'b'), last(2), DONE]

async function collect (address: string, options = OPTIONS, client = testClient()): Promise<string> {
  let seen = ''
  try {
    for await (const event of streamWhole(client, address, REQUEST, options)) {
      seen += event.kind === 'started' ? `${event.holder}:` : event.kind === 'text' ? event.text : '.'
    }
    return seen
  } catch (err) {
    return err instanceof Failure ? `${seen} ${err.code} ${err.ran}` : String(err)
  }
}

/** Counter-example: concatenates the texts of all connections without removing repeated pieces. */
async function collectNaively (address: string): Promise<string> {
  let seen = ''
  const client = testClient()
  for (let tries = 0; tries < 2; tries++) {
    const opened = tries === 0 ? await client.submit(address, REQUEST) : await client.resume(address, REQUEST.requestId, 0)
    try {
      for await (const event of opened.unsafeCoerce().events) seen += event.kind === 'piece' ? event.piece.text : ''
      return seen
    } catch {}
  }
  return seen
}

const overlapping: readonly Connection[] = [[[piece(0, 'a')], 'break'], [whole, 'close']]

const cases: readonly [title: string, script: readonly Connection[], expected: string, calls: number][] = [
  ['one connection', [[whole, 'close']], 'vm-1~a:ab.', 1],
  ['resumed at the next piece', [[[piece(0, 'a')], 'break'], [[piece(1, 'b'), last(2), DONE], 'close']], 'vm-1~a:ab.', 2],
  ['resumed with repeated pieces', overlapping, 'vm-1~a:ab.', 2],
  ['closed before the end, then resumed', [[[piece(0, 'a')], 'close'], [whole, 'close']], 'vm-1~a:ab.', 2],
  ['only the end event is missing', [[whole.slice(0, 2), 'break'], [[last(2), DONE], 'close']], 'vm-1~a:ab.', 2],
  ['a submit without a response is joined by the next submit', ['drop', [whole, 'close']], 'vm-1~a:ab.', 2],
  ['a resumption without a response', [[[piece(0, 'a')], 'break'], 'drop', [whole, 'close']], 'vm-1~a:ab.', 3],
  ['every connection breaks', [[[piece(0, 'a')], 'break']], 'vm-1~a:a answerCut yes', 3],
  ['stalled, then the engine has no record of the run', [[[piece(0, 'a')], 'hang'], 404], 'vm-1~a:a answerCut yes', 2],
  ['a gap after the resumption', [[[piece(0, 'a')], 'break'], [[piece(2, 'c'), last(3), DONE], 'close']], 'vm-1~a:a answerMixed yes', 2],
  ['another request after the resumption', [[[piece(0, 'a')], 'break'], [[piece(1, 'x', OTHER), last(2), DONE], 'close']], 'vm-1~a:a answerMixed yes', 2],
  ['different text after the resumption', [[[piece(0, 'a')], 'break'], [[piece(0, 'x'), last(1), DONE], 'close']], 'vm-1~a:a answerMixed yes', 2],
  ['an earlier end after the resumption', [[[piece(0, 'a'), piece(1, 'b')], 'break'], [[last(1), DONE], 'close']], 'vm-1~a:ab answerMixed yes', 2],
  ['refused', [503], ' runnerRefused no', 1],
  ['sent without a response, then refused', ['drop', 503], ' runnerRefused unknown', 2],
  ['accepted, then no event', [[[], 'break'], 404], 'vm-1~a: answerCut unknown', 2]
]

describe('streamWhole', () => {
  for (const [title, script, expected, calls] of cases) {
    it(`${title}: ${expected}`, async () => {
      const engine = await startTestEngine(script)
      const stalls = JSON.stringify(script).includes('hang')
      const seen = await collect(engine.address, OPTIONS, testClient(stalls ? { betweenEventsMs: SHORT_MS } : {}))
      await engine.close()
      expect(seen).to.equal(expected)
      expect(engine.calls).to.have.length(calls)
    })
  }

  it('would duplicate text without the assembler (counter-example)', async () => {
    const engine = await startTestEngine(overlapping)
    expect(await collectNaively(engine.address)).to.equal('aab')
    await engine.close()
  })

  it('does not retry when the connection is refused', async () => {
    expect(await collect(await closedAddress())).to.equal(' runnerUnreachable no')
  })

  it('resumes at the piece after the last received one', async () => {
    const engine = await startTestEngine([[[piece(0, 'a'), piece(1, 'b')], 'break'], [[last(2), DONE], 'close']])
    await collect(engine.address)
    await engine.close()
    expect(engine.calls[1]?.url).to.equal('/v1/runs/req-1/events?from=2')
  })

  const late = new Failure('deadlineExceeded', 'late')
  const aborts: readonly [title: string, script: readonly Connection[], events: number, reason: unknown, expected: string][] = [
    ['before anything was sent', [[whole, 'close']], 0, late, 'deadlineExceeded no 0'],
    ['before the engine responded', ['hang'], 0, late, 'deadlineExceeded unknown 1'],
    ['between pieces', [[[piece(0, 'a')], 'hang']], 2, undefined, 'callerGone yes 1']
  ]
  for (const [title, script, events, reason, expected] of aborts) {
    it(`stops at once when aborted ${title}`, async () => {
      const engine = await startTestEngine(script)
      const stop = new AbortController()
      if (expected.endsWith('0')) stop.abort(reason)
      const answer = streamWhole(testClient(), engine.address, REQUEST, { ...OPTIONS, signal: stop.signal })
      for (let taken = 0; taken < events; taken++) await answer.next()
      const next = answer.next().catch((err: unknown) => err)
      while (engine.calls.length < Number(expected.at(-1))) await new Promise(resolve => setImmediate(resolve))
      stop.abort(reason)
      const failure = await next as Failure
      await engine.close()
      expect(`${failure.code} ${failure.ran} ${engine.calls.length}`).to.equal(expected)
    })
  }
})
