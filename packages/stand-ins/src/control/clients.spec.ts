/**
 * Runs the product's clients against the stand-ins, so that both implement docs/PLATFORM.md the same way.
 */
import { expect } from 'chai'
import type { Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpTableStore } from '@rosemaryspread/infra/table/httpTableStore.js'
import { HttpObjectStore } from '@rosemaryspread/infra/objects/httpObjectStore.js'
import { HttpVmList } from '@rosemaryspread/infra/vmList/httpVmList.js'
import { HttpWeightStore } from '@rosemaryspread/infra/weights/httpWeightStore.js'
import type { EngineRequest, EngineStream } from '@rosemaryspread/runners/engine/engineTypes.js'
import { HttpEngineClient } from '@rosemaryspread/runners/engine/httpEngineClient.js'
import { HttpApplicationClient } from '@rosemaryspread/runners/application/httpApplicationClient.js'
import { applicationDefinition } from '../application/applicationRoutes.js'
import { engineDefinition } from '../engine/engineDefinition.js'
import { answerText } from '../engine/engineText.js'
import { LocalWeightSource } from '../engine/weightSource.js'
import { objectStoreDefinition } from '../objects/objectRoutes.js'
import { tableDefinition } from '../table/tableRoutes.js'
import { vmListDefinition } from '../vmList/vmListRoutes.js'
import { weightStoreDefinition } from '../weights/weightRoutes.js'
import type { EngineControl } from './controlTypes.js'
import { StandIn, type StandInDefinition } from './standIn.js'

const VM = 'vm-1'
const TIMEOUT_MS = 30_000
const LOOPBACK = { host: '127.0.0.1', port: 0 }
const REQUEST: EngineRequest = {
  requestId: 'r',
  digest: 'd',
  holder: 'vm-1~a',
  team: 't',
  budget: 'b',
  model: 'es',
  messages: [{ role: 'user', content: 'Allillanchu?' }],
  maxTokens: 8,
  priority: 1
}
const WRITE = { checks: [{ table: 't', key: 'k', version: null }], writes: [{ table: 't', key: 'k', value: { n: 1 } }] }

const codeOf = (outcome: Either<Failure, unknown>): string =>
  outcome.caseOf({ Left: failure => `${failure.code} ${failure.ran}`, Right: () => 'done' })

async function drain (stream: EngineStream): Promise<string> {
  let text = ''
  try {
    for await (const event of stream.events) if (event.kind === 'piece') text += event.piece.text
    return text
  } catch (err) {
    return err instanceof Failure ? err.code : String(err)
  }
}

describe('product clients against stand-ins', () => {
  const stops: (() => unknown)[] = []
  const start = async (definition: StandInDefinition): Promise<{ address: string, standIn: StandIn }> => {
    const standIn = new StandIn({ listen: LOOPBACK, control: LOOPBACK }, definition)
    const { listen } = await standIn.start()
    stops.push(async () => await standIn.stop())
    return { address: `${listen.host}:${listen.port}`, standIn }
  }
  const startEngine = async (control: EngineControl): Promise<{ client: HttpEngineClient, address: string }> => {
    const cache = { capacity: 100, eventLagMs: 0, eventLoss: 0 }
    const options = { name: 'e', slots: 4, msPerToken: 1, promptMsPerToken: 0, models: ['es'], checksFencing: true, loadLagMs: 0, cache }
    const definition = engineDefinition(options, '1', new LocalWeightSource(1, 1))
    const { address, standIn } = await start(definition)
    standIn.guard.apply(control)
    definition.onControl?.(control)
    const client = new HttpEngineClient({ vm: VM, connectMs: TIMEOUT_MS, callMs: TIMEOUT_MS, firstEventMs: TIMEOUT_MS, betweenEventsMs: TIMEOUT_MS, afterEndMs: TIMEOUT_MS })
    stops.push(() => client.close())
    return { client, address }
  }
  afterEach(async () => {
    for (const stop of stops.splice(0)) await stop()
  })

  const tables: readonly { name: string, control: EngineControl, first: string, second: string }[] = [
    { name: 'none', control: {}, first: 'done', second: 'platformConflict no' },
    { name: 'outage', control: { outage: true }, first: 'platformUnavailable no', second: 'platformUnavailable no' },
    { name: 'lost answer', control: { loseAnswers: 1 }, first: 'platformOutcomeUnknown unknown', second: 'platformConflict no' },
    { name: 'cut', control: { cut: [VM] }, first: 'platformOutcomeUnknown unknown', second: 'platformOutcomeUnknown unknown' }
  ]
  for (const { name, control, first, second } of tables) {
    it(`table with fault "${name}": ${first}, then ${second}`, async () => {
      const { address, standIn } = await start(tableDefinition())
      const store = new HttpTableStore(`http://${address}`, VM, TIMEOUT_MS)
      standIn.guard.apply(control)
      expect([codeOf(await store.transact(WRITE)), codeOf(await store.transact(WRITE))]).to.deep.equal([first, second])
      standIn.guard.apply({ outage: false, cut: [] })
      const rows = (await store.scan({ table: 't', prefix: '', limit: 5 })).unsafeCoerce().rows
      expect(rows.map(row => row.value)).to.deep.equal(second.startsWith('platformConflict') ? [{ n: 1 }] : [])
    })
  }

  const fullText = answerText(REQUEST, REQUEST.maxTokens)
  const streams: readonly { name: string, control: EngineControl, seen: string }[] = [
    { name: 'none', control: {}, seen: fullText },
    { name: 'a piece of another run', control: { mixNext: true }, seen: 'answerMixed' },
    { name: 'two ends', control: { doubleEnd: true }, seen: 'answerMixed' }
  ]
  for (const { name, control, seen } of streams) {
    it(`engine stream with fault "${name}"`, async () => {
      const { client, address } = await startEngine(control)
      const stream = (await client.submit(address, REQUEST)).unsafeCoerce()
      expect(stream.holder).to.equal(REQUEST.holder)
      expect(await drain(stream)).to.equal(seen)
      expect(await drain((await client.resume(address, 'r', 0)).unsafeCoerce())).to.equal(fullText)
    })
  }

  it('engine calls other than streams', async () => {
    const { client, address } = await startEngine({})
    await drain((await client.submit(address, REQUEST)).unsafeCoerce())
    expect((await client.find(address, 'r')).unsafeCoerce().extract()).to.include({ state: 'finished', promptTokens: 3, completionTokens: 8 })
    expect((await client.find(address, 'none')).unsafeCoerce().isNothing()).to.equal(true)
    expect((await client.listByHolder(address, REQUEST.holder)).unsafeCoerce()).to.have.length(1)
    expect((await client.seal(address, 'r')).unsafeCoerce().isJust()).to.equal(true)
    expect((await client.seal(address, 'q')).unsafeCoerce().isNothing()).to.equal(true)
    expect(codeOf(await client.submit(address, { ...REQUEST, requestId: 'q' }))).to.equal('runnerRefused no')
    expect((await client.cancel(address, 'r')).unsafeCoerce().state).to.equal('finished')
    expect((await client.load(address)).unsafeCoerce()).to.include({ slots: 4, running: 0, leaving: false })
    expect((await client.cacheEvents(address, 0)).unsafeCoerce()).to.include({ next: 1 })
    const order = { orderId: 'o', fencing: 2, kind: 'load', model: 'm', version: '1' } as const
    expect(codeOf(await client.order(address, order))).to.equal('done')
    expect(codeOf(await client.order(address, { ...order, orderId: 'p', fencing: 1 }))).to.equal('leaseLost no')
  })

  it('application, object store, weight store and VM list', async () => {
    const application = new HttpApplicationClient({ vm: VM, connectMs: TIMEOUT_MS, maxBytes: 10_000 })
    stops.push(() => application.close())
    const { address } = await start(applicationDefinition({ name: 'app', service: 's', delayMs: 0 }))
    const answer = await application.call(address, { requestId: 'r', method: 'POST', path: '/escorts', contentType: 'application/json', body: Buffer.from('{}'), timeoutMs: TIMEOUT_MS })
    expect(answer.unsafeCoerce().status).to.equal(201)
    const objects = new HttpObjectStore(`http://${(await start(objectStoreDefinition())).address}`, VM, TIMEOUT_MS)
    expect(codeOf(await objects.put('config/1', Buffer.from('x')))).to.equal('done')
    expect((await objects.get('config/1')).unsafeCoerce().extract()?.toString()).to.equal('x')
    expect((await objects.get('config/2')).unsafeCoerce().isNothing()).to.equal(true)
    const weights = new HttpWeightStore(`http://${(await start(weightStoreDefinition({ perMinute: 1, burst: 1, sets: [] }))).address}`, VM, TIMEOUT_MS)
    expect((await weights.describe('m', '1')).unsafeCoerce()).to.include({ model: 'm', version: '1' })
    expect((await weights.describe('m', '1')).isLeft()).to.equal(true)
    const list = new HttpVmList(`http://${(await start(vmListDefinition(0))).address}`, VM, TIMEOUT_MS)
    expect((await list.list()).unsafeCoerce().vms).to.deep.equal([])
  })
})
