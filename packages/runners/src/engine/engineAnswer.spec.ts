/**
 * Guards against duplicated or missing text when the connection breaks and the run is resumed.
 */
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { refusingAddress, SHORT_TIMEOUT_MS } from '@rosemaryspread/infra/http/testServer.spec.js'
import { streamAnswer, type StreamAnswerOptions } from './engineAnswer.js'
import { DONE_FRAME, lastFrame, pieceFrame, REQUEST, startTestEngine, testClient, type Connection } from './testEngine.spec.js'

const OPTIONS: StreamAnswerOptions = { maxResumes: 2, pauseMs: 1, pause: async () => {} }
const OTHER_REQUEST = { id: 'req-2' }
const completeAnswer = [pieceFrame(0, 'a'), pieceFrame(1, 'b'), lastFrame(2), DONE_FRAME]

async function collect (address: string, options = OPTIONS, client = testClient()): Promise<string> {
  let output = ''
  try {
    for await (const event of streamAnswer(client, address, REQUEST, options)) {
      output += event.kind === 'started' ? `${event.holder}:` : event.kind === 'text' ? event.text : '.'
    }
    return output
  } catch (err) {
    return err instanceof Failure ? `${output} ${err.code} ${err.ran}` : String(err)
  }
}

/** Counter-example: concatenates the texts of all connections without removing repeated pieces. */
async function collectUnchecked (address: string): Promise<string> {
  let output = ''
  const client = testClient()
  for (let attempt = 0; attempt < 2; attempt++) {
    const opened = attempt === 0 ? await client.submit(address, REQUEST) : await client.resume(address, REQUEST.requestId, 0)
    try {
      for await (const event of opened.unsafeCoerce().events) output += event.kind === 'piece' ? event.piece.text : ''
      return output
    } catch {}
  }
  return output
}

const overlappingStreams: readonly Connection[] = [[[pieceFrame(0, 'a')], 'break'], [completeAnswer, 'close']]

const cases: readonly [title: string, script: readonly Connection[], expected: string, calls: number][] = [
  ['one connection', [[completeAnswer, 'close']], 'vm-1~a:ab.', 1],
  ['resumed at the next piece', [[[pieceFrame(0, 'a')], 'break'], [[pieceFrame(1, 'b'), lastFrame(2), DONE_FRAME], 'close']], 'vm-1~a:ab.', 2],
  ['resumed with repeated pieces', overlappingStreams, 'vm-1~a:ab.', 2],
  ['closed before the end, then resumed', [[[pieceFrame(0, 'a')], 'close'], [completeAnswer, 'close']], 'vm-1~a:ab.', 2],
  ['only the end event is missing', [[completeAnswer.slice(0, 2), 'break'], [[lastFrame(2), DONE_FRAME], 'close']], 'vm-1~a:ab.', 2],
  ['a submit without a response is joined by the next submit', ['drop', [completeAnswer, 'close']], 'vm-1~a:ab.', 2],
  ['a resumption without a response', [[[pieceFrame(0, 'a')], 'break'], 'drop', [completeAnswer, 'close']], 'vm-1~a:ab.', 3],
  ['every connection breaks', [[[pieceFrame(0, 'a')], 'break']], 'vm-1~a:a answerCut yes', 3],
  ['stalled, then the engine has no record of the run', [[[pieceFrame(0, 'a')], 'hang'], 404], 'vm-1~a:a answerCut yes', 2],
  ['a gap after the resumption', [[[pieceFrame(0, 'a')], 'break'], [[pieceFrame(2, 'c'), lastFrame(3), DONE_FRAME], 'close']], 'vm-1~a:a answerMixed yes', 2],
  ['another request after the resumption', [[[pieceFrame(0, 'a')], 'break'], [[pieceFrame(1, 'x', OTHER_REQUEST), lastFrame(2), DONE_FRAME], 'close']], 'vm-1~a:a answerMixed yes', 2],
  ['different text after the resumption', [[[pieceFrame(0, 'a')], 'break'], [[pieceFrame(0, 'x'), lastFrame(1), DONE_FRAME], 'close']], 'vm-1~a:a answerMixed yes', 2],
  ['an earlier end after the resumption', [[[pieceFrame(0, 'a'), pieceFrame(1, 'b')], 'break'], [[lastFrame(1), DONE_FRAME], 'close']], 'vm-1~a:ab answerMixed yes', 2],
  ['refused', [503], ' runnerRefused no', 1],
  ['sent without a response, then refused', ['drop', 503], ' runnerRefused unknown', 2],
  ['accepted, then no event', [[[], 'break'], 404], 'vm-1~a: answerCut unknown', 2]
]

describe('streamAnswer', () => {
  for (const [title, script, expected, calls] of cases) {
    it(`${title}: ${expected}`, async () => {
      const engine = await startTestEngine(script)
      const stalls = JSON.stringify(script).includes('hang')
      const output = await collect(engine.address, OPTIONS, testClient(stalls ? { betweenEventsMs: SHORT_TIMEOUT_MS } : {}))
      await engine.close()
      expect(output).to.equal(expected)
      expect(engine.calls).to.have.length(calls)
    })
  }

  it('would duplicate text without the assembler (counter-example)', async () => {
    const engine = await startTestEngine(overlappingStreams)
    expect(await collectUnchecked(engine.address)).to.equal('aab')
    await engine.close()
  })

  it('does not retry when the connection is refused', async () => {
    expect(await collect(await refusingAddress())).to.equal(' runnerUnreachable no')
  })

  it('resumes at the piece after the last received one', async () => {
    const engine = await startTestEngine([[[pieceFrame(0, 'a'), pieceFrame(1, 'b')], 'break'], [[lastFrame(2), DONE_FRAME], 'close']])
    await collect(engine.address)
    await engine.close()
    expect(engine.calls[1]?.url).to.equal('/v1/runs/req-1/events?from=2')
  })

  const deadlineFailure = new Failure('deadlineExceeded', 'late', { ran: 'no' })
  const aborts: readonly [title: string, script: readonly Connection[], events: number, reason: unknown, expected: string][] = [
    ['before anything was sent', [[completeAnswer, 'close']], 0, deadlineFailure, 'deadlineExceeded no 0'],
    ['before the engine responded', ['hang'], 0, deadlineFailure, 'deadlineExceeded unknown 1'],
    ['between pieces', [[[pieceFrame(0, 'a')], 'hang']], 2, undefined, 'callerGone yes 1']
  ]
  for (const [title, script, events, reason, expected] of aborts) {
    it(`stops at once when aborted ${title}`, async () => {
      const engine = await startTestEngine(script)
      const stop = new AbortController()
      if (expected.endsWith('0')) stop.abort(reason)
      const answer = streamAnswer(testClient(), engine.address, REQUEST, { ...OPTIONS, signal: stop.signal })
      for (let received = 0; received < events; received++) await answer.next()
      const next = answer.next().catch((err: unknown) => err)
      while (engine.calls.length < Number(expected.at(-1))) await new Promise(resolve => setImmediate(resolve))
      stop.abort(reason)
      const failure = await next as Failure
      await engine.close()
      expect(`${failure.code} ${failure.ran} ${engine.calls.length}`).to.equal(expected)
    })
  }
})
