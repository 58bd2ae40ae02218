/**
 * The engine stand-in without its sockets: submissions, batching, cancels, seals, faults and reports.
 */
import { expect } from 'chai'
import type { EngineRequest } from '@rosemaryspread/runners/engine/engineTypes.js'
import { HistoryLog } from '../control/historyLog.js'
import type { HistoryRecord } from '../history/historyTypes.js'
import { EngineState, type EngineOptions } from './engineState.js'
import { answerText } from './engineText.js'
import { RECORD_RETENTION_MS } from './runRegistry.js'

const OPTIONS: EngineOptions = {
  name: 'engine-1',
  slots: 2,
  msPerToken: 10,
  promptMsPerToken: 1,
  models: ['es', 'vi-lm@2'],
  checksFencing: true,
  loadLagMs: 500,
  cache: { capacity: 10, eventLagMs: 1000, eventLoss: 0 }
}

const request = (requestId: string, changes: Partial<EngineRequest> = {}): EngineRequest => ({
  requestId,
  digest: 'd',
  holder: 'vm~1',
  team: 't',
  budget: 'b',
  model: 'es',
  messages: [{ role: 'user', content: 'hola' }],
  maxTokens: 4,
  priority: 0,
  ...changes
})

function makeEngine (changes: Partial<EngineOptions> = {}): { state: EngineState, history: HistoryLog } {
  const history = new HistoryLog()
  return { state: new EngineState({ ...OPTIONS, ...changes }, () => 0.5, history, 0), history }
}

const recordIds = (history: HistoryLog, kind: HistoryRecord['kind']): unknown[] =>
  history.records.filter(record => record.kind === kind).map(record => 'requestId' in record ? record.requestId : record.kind)

describe('EngineState', () => {
  const submissions: readonly { name: string, before: (state: EngineState) => void, req: EngineRequest, at?: number, kind: string }[] = [
    { name: 'a new id', before: () => {}, req: request('r'), kind: 'started' },
    { name: 'an existing id', before: state => state.submit(request('r'), 0), req: request('r', { holder: 'other~2' }), kind: 'joined' },
    { name: 'an existing id while leaving', before: state => { state.submit(request('r'), 0); state.setLeaving(true, 0) }, req: request('r'), kind: 'joined' },
    { name: 'another digest', before: state => state.submit(request('r'), 0), req: request('r', { digest: 'x' }), kind: 'otherDigest' },
    { name: 'a sealed id', before: state => state.seal('r', 0), req: request('r'), kind: 'sealed' },
    { name: 'a new id while leaving', before: state => state.setLeaving(true, 0), req: request('r'), kind: 'leaving' },
    { name: 'a model that is not loaded', before: () => {}, req: request('r', { model: 'none' }), kind: 'notLoaded' },
    { name: 'an adapter that is not loaded', before: () => {}, req: request('r', { adapter: 'none' }), kind: 'notLoaded' },
    { name: 'an id whose record has expired', before: state => { state.seal('r', 0); state.advance(RECORD_RETENTION_MS) }, req: request('r'), at: RECORD_RETENTION_MS, kind: 'started' },
    { name: 'an id whose seal expires in 1 ms', before: state => state.seal('r', 0), req: request('r'), at: RECORD_RETENTION_MS - 1, kind: 'sealed' }
  ]
  for (const { name, before, req, at = 0, kind } of submissions) {
    it(`submit of ${name}: ${kind}`, () => {
      const { state } = makeEngine()
      before(state)
      expect(state.submit(req, at).kind).to.equal(kind)
    })
  }

  it('generates the full answer, the same for the same request, and records the run', () => {
    const { state, history } = makeEngine()
    state.submit(request('r'), 0)
    state.advance(1000)
    expect(state.find('r')).to.include({ state: 'finished', promptTokens: 1, completionTokens: 4 })
    const text = answerText(request('r'), 4)
    expect(history.records.at(-1)).to.include({ kind: 'ended', state: 'finished', text, tokens: 5 })
    expect(answerText(request('r2'), 4)).to.not.equal(text)
  })

  it('assigns slots by priority, then by submission, and generates one token per step for each run', () => {
    const { state, history } = makeEngine()
    for (const id of ['a', 'b']) state.submit(request(id), 0)
    state.advance(10)
    for (const [id, priority] of [['c', 0], ['d', 5], ['e', 0]] as const) state.submit(request(id, { priority }), 11)
    state.advance(30)
    const generated = ['a', 'b', 'c'].map(id => state.run(id)!.generated)
    expect(generated).to.deep.equal([1, 1, 0])
    state.advance(1000)
    expect(recordIds(history, 'ran')).to.deep.equal(['a', 'b', 'd', 'c', 'e'])
  })

  const cancels: readonly { name: string, at: number, tokens: number, state: string, ran: boolean }[] = [
    { name: 'a run in progress', at: 35, tokens: 2, state: 'cancelled', ran: true },
    { name: 'a finished run', at: 1000, tokens: 4, state: 'finished', ran: true }
  ]
  for (const { name, at, tokens, state: expected, ran } of cancels) {
    it(`cancel of ${name}: ${expected} with ${tokens} tokens`, () => {
      const { state, history } = makeEngine()
      state.submit(request('r'), 0)
      expect(state.cancel('r', at)).to.include({ state: expected, completionTokens: tokens })
      state.advance(2000)
      expect(state.find('r')).to.include({ completionTokens: tokens })
      expect(recordIds(history, 'ended')).to.deep.equal(ran ? ['r'] : [])
    })
  }

  it('cancel of a waiting run: no tokens used and no run recorded', () => {
    const { state, history } = makeEngine({ slots: 1 })
    state.submit(request('a'), 0)
    state.submit(request('b'), 0)
    expect(state.cancel('b', 5)).to.include({ state: 'cancelled', promptTokens: 0, completionTokens: 0 })
    state.advance(1000)
    expect(recordIds(history, 'ran')).to.deep.equal(['a'])
  })

  it('seal of an existing run returns its record and does not affect it', () => {
    const { state } = makeEngine()
    state.submit(request('r'), 0)
    expect(state.seal('r', 5)).to.include({ requestId: 'r', state: 'running' })
    expect(state.seal('q', 5)).to.equal(undefined)
    expect(state.find('q')).to.include({ state: 'sealed' })
  })

  it('lists the records of one holder', () => {
    const { state } = makeEngine()
    state.submit(request('a'), 0)
    state.submit(request('b', { holder: 'other~2' }), 0)
    expect(state.list('other~2').map(({ requestId }) => requestId)).to.deep.equal(['b'])
  })

  it('aborts runs, notifies their streams and records the tokens used', () => {
    const { state, history } = makeEngine()
    const outcome = state.submit(request('r'), 0)
    let lost = 0
    if (outcome.kind === 'started') outcome.run.listeners.add({ piece: () => {}, ended: () => {}, lost: () => { lost++ } })
    state.advance(25)
    state.abortRuns(25)
    expect(lost).to.equal(1)
    expect(state.find('r')).to.equal(undefined)
    expect(history.records.at(-1)).to.include({ kind: 'ended', state: 'cancelled', tokens: 2 })
  })

  it('overreports once when the fault is set, and records the actual usage', () => {
    const { state, history } = makeEngine()
    state.overreportNext = 7
    for (const id of ['a', 'b']) {
      state.submit(request(id), 0)
      state.advance(1000)
    }
    expect(['a', 'b'].map(id => state.find(id)!.completionTokens)).to.deep.equal([11, 4])
    expect(history.records.filter(record => record.kind === 'ended')[0]).to.include({ tokens: 5, reportedTokens: 12 })
  })

  it('reports load with the configured lag', () => {
    const { state } = makeEngine()
    for (const id of ['a', 'b', 'c']) state.submit(request(id, { maxTokens: 16 }), 1000)
    state.advance(1020)
    expect(state.report(1100)).to.include({ asOf: 600, running: 0, waiting: 0 })
    expect(state.report(1560)).to.include({ asOf: 1060, running: 2, waiting: 1 })
    expect(state.report(9000)).to.include({ asOf: 8500, running: 0, waiting: 0 })
  })

  it('skips computing a cached prefix, and publishes cache events with the configured lag', () => {
    const { state } = makeEngine({ promptMsPerToken: 100 })
    const messages = [{ role: 'user' as const, content: 'a'.repeat(20) }]
    state.submit(request('a', { messages, maxTokens: 1 }), 0)
    state.advance(600)
    expect(state.find('a')?.state).to.equal('finished')
    state.submit(request('b', { messages, maxTokens: 1 }), 600)
    state.advance(620)
    expect(state.find('b')?.state).to.equal('finished')
    expect(state.cacheEvents(0, 620).events).to.have.length(0)
    expect(state.cacheEvents(0, 1600)).to.deep.include({ next: 1 })
  })
})
