/**
 * The stand-ins over HTTP: each fault has the documented effect, and each service answers as the platform or engine does.
 */
import { expect } from 'chai'
import { got, type Method, type Response } from 'got'
import { applicationDefinition } from '../application/applicationRoutes.js'
import { engineDefinition } from '../engine/engineDefinition.js'
import type { EngineOptions } from '../engine/engineState.js'
import { answerText } from '../engine/engineText.js'
import { LocalWeightSource } from '../engine/weightSource.js'
import { objectStoreDefinition } from '../objects/objectRoutes.js'
import { tableDefinition } from '../table/tableRoutes.js'
import { vmListDefinition } from '../vmList/vmListRoutes.js'
import { weightStoreDefinition } from '../weights/weightRoutes.js'
import { StandIn, type StandInDefinition } from './standIn.js'

const LOOPBACK = { host: '127.0.0.1', port: 0 }
const CUT = 'cut'
const WRITE = { checks: [], writes: [{ table: 't', key: 'k', value: 1 }] }
const MESSAGES = [{ role: 'user' as const, content: 'hola' }]
const ENGINE: EngineOptions = {
  name: 'e',
  slots: 4,
  msPerToken: 1,
  promptMsPerToken: 0,
  models: ['es'],
  checksFencing: true,
  loadLagMs: 0,
  cache: { capacity: 100, eventLagMs: 0, eventLoss: 0 }
}

interface Call { method?: Method, json?: unknown, headers?: Record<string, string> }

/** A started stand-in, reached over its two ports. */
class RunningStandIn {
  constructor (readonly standIn: StandIn, private readonly listen: number, private readonly control: number) {}

  /** Status and body of a call, or `cut` if the connection ended without a complete answer. */
  async call (path: string, options: Call = {}): Promise<{ status: number | typeof CUT, body: string }> {
    return await this.send(this.listen, path, options)
  }

  async order (control: unknown): Promise<number | typeof CUT> {
    return (await this.send(this.control, '/control', { json: control })).status
  }

  async ask (path: string): Promise<string> {
    return (await this.send(this.control, path, {})).body
  }

  private async send (port: number, path: string, { method, json, headers }: Call): Promise<{ status: number | typeof CUT, body: string }> {
    const options = { throwHttpErrors: false, retry: { limit: 0 }, headers: headers ?? {}, method: method ?? (json === undefined ? 'GET' as const : 'POST' as const), ...(json === undefined ? {} : { json }) }
    return await got(`http://127.0.0.1:${port}${path}`, options)
      .then((res: Response<string>) => ({ status: res.statusCode, body: res.body }), () => ({ status: CUT, body: '' }))
  }
}

describe('stand-ins over HTTP', () => {
  const started: RunningStandIn[] = []
  const start = async (definition: StandInDefinition): Promise<RunningStandIn> => {
    const standIn = new StandIn({ listen: LOOPBACK, control: LOOPBACK }, definition)
    const { listen, control } = await standIn.start()
    started.push(new RunningStandIn(standIn, listen.port, control.port))
    return started.at(-1)!
  }
  const startEngine = async (changes: Partial<EngineOptions> = {}): Promise<RunningStandIn> =>
    await start(engineDefinition({ ...ENGINE, ...changes }, '1', new LocalWeightSource(1, 1)))
  const complete = (requestId: string, digest = 'd'): Call => ({
    headers: { 'x-request-id': requestId, 'x-run-digest': digest, 'x-holder': 'vm~1', 'x-vm': 'vm' },
    json: { model: 'es', messages: MESSAGES, max_tokens: 6, stream: true }
  })
  afterEach(async () => {
    await Promise.all(started.splice(0).map(async ({ standIn }) => await standIn.stop()))
  })

  const faults: readonly { name: string, control: object, status: number | typeof CUT, effect: boolean, after: number }[] = [
    { name: 'none', control: {}, status: 200, effect: true, after: 200 },
    { name: 'outage', control: { outage: true }, status: 503, effect: false, after: 503 },
    { name: 'lost answer', control: { loseAnswers: 1 }, status: CUT, effect: true, after: 200 },
    { name: 'cut of this VM', control: { cut: ['vm'] }, status: CUT, effect: false, after: 200 },
    { name: 'cut of another VM', control: { cut: ['other'] }, status: 200, effect: true, after: 200 },
    { name: 'closed port, then reopened', control: { refuse: true }, status: CUT, effect: false, after: 200 }
  ]
  for (const { name, control, status, effect, after } of faults) {
    it(`table with fault "${name}"`, async () => {
      const table = await start(tableDefinition())
      const write = async () => await table.call('/table/transact', { json: WRITE, headers: { 'x-vm': 'vm' } })
      await table.order(control)
      expect((await write()).status).to.equal(status)
      expect(JSON.parse(await table.ask('/control/rows?table=t')).rows).to.have.length(effect ? 1 : 0)
      await table.order({ cut: [], refuse: false })
      expect((await write()).status).to.equal(after)
    })
  }

  const invalidRequests: readonly { name: string, path: string, call: Call, status: number }[] = [
    { name: 'unknown path', path: '/nothing', call: {}, status: 404 },
    { name: 'wrong method', path: '/table/read', call: {}, status: 405 },
    { name: 'body that does not match the schema', path: '/table/read', call: { json: { key: 1 } }, status: 400 },
    { name: 'write without a value', path: '/table/transact', call: { json: { checks: [], writes: [{ table: 't', key: 'k' }] } }, status: 400 },
    { name: 'failed check', path: '/table/transact', call: { json: { checks: [{ table: 't', key: 'k', version: 3 }], writes: [] } }, status: 409 }
  ]
  for (const { name, path, call, status } of invalidRequests) {
    it(`table refuses: ${name}`, async () => {
      const table = await start(tableDefinition())
      expect((await table.call(path, call)).status).to.equal(status)
    })
  }

  it('refuses control messages with unknown fields', async () => {
    expect(await (await start(tableDefinition())).order({ mixNext: true })).to.equal(400)
  })

  it('stores objects, limits the rate of weights and lists VMs', async () => {
    const objects = await start(objectStoreDefinition())
    expect((await objects.call('/objects/a/b', { method: 'PUT', json: { n: 1 } })).status).to.equal(204)
    expect((await objects.call('/objects/a/b')).body).to.equal('{"n":1}')
    expect((await objects.call('/objects/c')).status).to.equal(404)
    const weights = await start(weightStoreDefinition({ perMinute: 1, burst: 1, sets: ['m@1'] }))
    const statuses = []
    for (const path of ['/weights/m/2', '/weights/m/1', '/weights/m/1']) statuses.push((await weights.call(path)).status)
    expect(statuses).to.deep.equal([404, 200, 429])
    const list = await start(vmListDefinition(0))
    expect(JSON.parse((await list.call('/vms')).body).vms).to.deep.equal([])
  })

  it('an application executes a repeated call again, also after its answer was lost', async () => {
    const application = await start(applicationDefinition({ name: 'app', service: 's', delayMs: 0 }))
    await application.order({ loseAnswers: 1 })
    const statuses = []
    for (const requestId of ['r', 'r']) statuses.push((await application.call('/escorts', { json: { n: 1 }, headers: { 'x-request-id': requestId } })).status)
    await application.order({ leaving: true })
    statuses.push((await application.call('/escorts', { json: {} })).status)
    expect(statuses).to.deep.equal([CUT, 201, 503])
    expect(JSON.parse(await application.ask('/control/executions')).executions).to.have.length(2)
    const kinds = (await application.ask('/control/history')).trim().split('\n').map(line => JSON.parse(line).kind)
    expect(kinds).to.deep.equal(['ran', 'ended', 'ran', 'ended', 'runnerLeaving'])
  })

  const text = answerText({ requestId: 'r', model: 'es', messages: MESSAGES }, 6)
  const contents = (body: string, id: string): string =>
    [...body.matchAll(/^data: (\{.*\})$/gm)].map(match => JSON.parse(match[1]!)).filter(event => event.id === id).map(event => event.choices[0].delta.content).join('')
  const streams: readonly { name: string, control: object, expected: string, expectedOther: string, ends: number }[] = [
    { name: 'none', control: {}, expected: text, expectedOther: '', ends: 1 },
    { name: 'a piece of another run', control: { mixNext: true }, expected: text, expectedOther: 'ajeno ', ends: 1 },
    { name: 'two ends', control: { doubleEnd: true }, expected: text, expectedOther: '', ends: 2 }
  ]
  for (const { name, control, expected: expectedText, expectedOther: expectedOtherText, ends } of streams) {
    it(`engine stream with fault "${name}"`, async () => {
      const engine = await startEngine()
      await engine.order(control)
      const { body } = await engine.call('/v1/chat/completions', complete('r'))
      expect(contents(body, 'r')).to.equal(expectedText)
      expect(contents(body, 'foreign-r')).to.equal(expectedOtherText)
      expect(body.split('[DONE]')).to.have.length(ends + 1)
    })
  }

  it('engine joins a run whose answer was lost, resumes its stream, and refuses a reused or sealed id', async () => {
    const engine = await startEngine()
    await engine.order({ loseAnswers: 1 })
    expect((await engine.call('/v1/chat/completions', complete('r'))).status).to.equal(CUT)
    expect(contents((await engine.call('/v1/chat/completions', complete('r'))).body, 'r')).to.equal(text)
    const rest = contents((await engine.call('/v1/runs/r/events?from=2')).body, 'r')
    expect(text.endsWith(rest) && rest.trim().split(' ').length === 4).to.equal(true)
    expect((await engine.call('/v1/chat/completions', complete('r', 'other'))).status).to.equal(409)
    expect((await engine.call('/v1/runs/q/seal', { method: 'POST' })).status).to.equal(200)
    expect((await engine.call('/v1/chat/completions', complete('q'))).status).to.equal(410)
    expect((await engine.call('/v1/runs/none/events')).status).to.equal(404)
    expect((await engine.ask('/control/history')).trim().split('\n')).to.have.length(2)
  })

  for (const [name, control, expectedStatus] of [['killed streams', { killStreams: true }, 404], ['a cut VM', { cut: ['vm'] }, 200]] as const) {
    it(`engine stream ends without its final event on ${name}`, async () => {
      const engine = await startEngine({ msPerToken: 60_000 })
      const stream = engine.call('/v1/chat/completions', complete('r'))
      while ((await engine.call('/v1/runs/r')).status !== 200) await new Promise(resolve => setImmediate(resolve))
      await engine.order(control)
      expect((await stream).status).to.equal(CUT)
      expect((await engine.call('/v1/runs/r')).status).to.equal(expectedStatus)
    })
  }

  it('engine orders: rate limit of weights, stale fencing numbers refused', async () => {
    const engine = await startEngine()
    const order = (orderId: string, fencing: number, model: string): Call => ({ json: { orderId, fencing, kind: 'load', model, version: '1' } })
    const statuses = []
    for (const call of [order('1', 5, 'a'), order('1', 5, 'a'), order('2', 4, 'b'), order('3', 6, 'b')]) statuses.push((await engine.call('/orders', call)).status)
    expect(statuses).to.deep.equal([200, 200, 412, 429])
  })
})
