/**
 * The configuration store: concurrent patches, lost answers, history, lagging replicas, and starts while the table is down.
 */
import { expect } from 'chai'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { initialConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import { deltaName, LATEST_OBJECT } from '@rosemaryspread/decisions/config/configRows.js'
import type { PatchAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'
import { Failure as PlatformFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import { ConfigPatcher } from 'rosemaryspread/config/configPatcher.js'
import { ConfigReader } from 'rosemaryspread/config/configReader.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'
import { ConfigFleet, modelPatch, type FleetOptions } from './configFleet.js'
import { verifyFleet, versionRows } from './configVerifier.js'

const codeOf = (outcome: Either<Failure, unknown>): string => outcome.swap().map(failure => failure.code as string).orDefault('accepted')

async function startFleet (vms: number, options: Partial<FleetOptions> = {}): Promise<ConfigFleet> {
  const fleet = new ConfigFleet({ vms, seed: 'store', ...options })
  await fleet.start()
  return fleet
}

async function acceptMany (fleet: ConfigFleet, count: number): Promise<void> {
  for (let base = 0; base < count; base++) {
    expect(codeOf(await fleet.addModel(fleet.vm(0), base, `m${base + 1}`))).to.equal('accepted')
  }
}

/** Counter-example: a table client that sends no checks, so that the last writer wins. */
class UncheckedTable extends MemoryTableStore {
  override async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    return await super.transact({ ...tx, checks: [] })
  }
}

/** Loses requests or answers of transactions that write; others are unaffected. */
class LosingTable extends MemoryTableStore {
  loseWrites: ('answer' | 'request')[] = []
  /** Whether an outage of the table follows a loss. */
  thenOutage = false

  override async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    const lost = tx.writes.length > 0 ? this.loseWrites.shift() : undefined
    if (lost === 'answer') this.loseAnswers = 1
    if (lost === 'request') this.loseRequests = 1
    const answer = await super.transact(tx)
    if (lost !== undefined && this.thenOutage) this.outage = true
    return answer
  }
}

/** Counter-example: a table client that reports a write whose answer was lost as not executed. */
class AssumesFailureTable extends LosingTable {
  override async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    return (await super.transact(tx)).mapLeft(failure => failure.code === 'platformOutcomeUnknown' ? new PlatformFailure('platformUnavailable', '', { ran: 'no' }) : failure)
  }
}

async function patchConcurrently (fleet: ConfigFleet, base: number): Promise<Either<Failure, PatchAnswer>[]> {
  const patches = fleet.vms.map(async (vm, index) => await vm.store.patch(modelPatch(base, `race${base}-${index}`)))
  return await fleet.time.until(Promise.all(patches))
}

describe('concurrent patches', () => {
  for (const operators of [2, 10]) {
    it(`${operators} on one version: one is accepted and no update is lost`, async () => {
      const fleet = await startFleet(operators)
      for (let base = 0; base < 5; base++) {
        const outcomes = await patchConcurrently(fleet, base)
        const codes = outcomes.map(codeOf)
        expect(codes.filter(code => code === 'accepted')).to.have.length(1)
        expect(codes.filter(code => code === 'configConflict')).to.have.length(operators - 1)
        const lost = outcomes.find(outcome => outcome.isLeft())!.swap().unsafeCoerce()
        expect(lost.message).to.include(`the current version is ${base + 1}`)
        expect(lost.errors[0]).to.match(new RegExp(`^version ${base + 1} by operator \\(patch race${base}-\\d+\\): add /models/`))
        await fleet.time.run(3_000)
      }
      expect(verifyFleet(fleet)).to.deep.equal([])
      expect(Object.keys(fleet.vm(0).store.inForce!.config.models)).to.have.members(versionRows(fleet).map(row => row.patchId))
    })

    it(`${operators} on a table without checks: the verifier detects the lost updates (counter-example)`, async () => {
      const fleet = await startFleet(operators, { table: state => new UncheckedTable(state) })
      const codes = (await patchConcurrently(fleet, 0)).map(codeOf)
      expect(codes.filter(code => code === 'accepted')).to.have.length(operators)
      const reported = codes.map((_, index) => ({ patchId: `race0-${index}`, outcome: 'accepted', version: 1 } as const))
      expect(verifyFleet(fleet, reported).filter(text => text.includes('but is undefined'))).to.have.length(operators - 1)
    })
  }
})

describe('lost answers and requests', () => {
  const cases: readonly { name: string, lose: ('answer' | 'request')[], thenOutage?: true, code: string, later: { version: number, repeated: boolean } }[] = [
    { name: 'the answer of the write', lose: ['answer'], code: 'accepted', later: { version: 1, repeated: true } },
    { name: 'the request of the write', lose: ['request'], code: 'accepted', later: { version: 1, repeated: true } },
    { name: 'three requests, then an answer', lose: ['request', 'request', 'request', 'answer'], code: 'accepted', later: { version: 1, repeated: true } },
    { name: 'the answer, then an outage', lose: ['answer'], thenOutage: true, code: 'platformOutcomeUnknown', later: { version: 1, repeated: true } },
    { name: 'the request, then an outage', lose: ['request'], thenOutage: true, code: 'platformOutcomeUnknown', later: { version: 1, repeated: false } },
    { name: 'every request', lose: Array(20).fill('request'), code: 'platformOutcomeUnknown', later: { version: 1, repeated: false } }
  ]
  for (const { name, lose, thenOutage = false, code, later } of cases) {
    it(`${name}: ${code}; the same patch again: version 1, repeated ${String(later.repeated)}`, async () => {
      const tables: LosingTable[] = []
      const fleet = await startFleet(2, { table: state => { tables.push(new LosingTable(state)); return tables.at(-1)! } })
      Object.assign(tables[0]!, { loseWrites: [...lose], thenOutage })
      expect(codeOf(await fleet.addModel(fleet.vm(0), 0, 'p1'))).to.equal(code)
      Object.assign(tables[0]!, { outage: false, loseWrites: [], thenOutage: false })
      const again = (await fleet.addModel(fleet.vm(1), 0, 'p1')).unsafeCoerce()
      expect(again).to.deep.equal({ ...later, dryRun: false })
      expect(verifyFleet(fleet, [{ patchId: 'p1', outcome: 'accepted', version: 1 }])).to.deep.equal([])
    })
  }

  it('the verifier detects a client that reports a lost answer as no write (counter-example)', async () => {
    const table = (state: MemoryTableStore['state']): AssumesFailureTable => Object.assign(new AssumesFailureTable(state), { loseWrites: ['answer'], thenOutage: true })
    const fleet = await startFleet(1, { table })
    const failure = (await fleet.addModel(fleet.vm(0), 0, 'p1')).swap().unsafeCoerce()
    expect(failure.ran).to.equal('no')
    expect(verifyFleet(fleet, [{ patchId: 'p1', outcome: 'notRun' }])).to.deep.equal(['p1 was refused but took effect'])
  })
})

describe('patch ids, history and versions', () => {
  it('repeats the answer for a patch id, refuses the id for another patch, and stores nothing for a dry run', async () => {
    const fleet = await startFleet(1)
    await acceptMany(fleet, 2)
    const { store } = fleet.vm(0)
    const send = async (base: number, patchId: string, model: string, dryRun = false): Promise<Either<Failure, PatchAnswer>> =>
      await fleet.time.until(store.patch({ ...modelPatch(base, model), patchId, dryRun }))
    expect((await send(0, 'm1', 'm1')).unsafeCoerce()).to.deep.equal({ version: 1, repeated: true, dryRun: false })
    expect((await send(2, 'm1', 'm1')).unsafeCoerce()).to.deep.equal({ version: 1, repeated: true, dryRun: false })
    expect(codeOf(await send(2, 'm1', 'other'))).to.equal('patchIdReused')
    expect((await send(2, 'dry', 'm3', true)).unsafeCoerce()).to.deep.equal({ version: 3, repeated: false, dryRun: true })
    expect(codeOf(await send(1, 'dry', 'm3', true))).to.equal('configConflict')
    expect(codeOf(await send(2, 'dry', 'BAD', true))).to.equal('configInvalid')
    expect(versionRows(fleet)).to.have.length(2)
    expect(verifyFleet(fleet)).to.deep.equal([])
  })

  it('retains history, returns old versions, and reverts only by a new version', async () => {
    const fleet = await startFleet(1)
    await acceptMany(fleet, 70)
    const { store, table } = fleet.vm(0)
    const revert = { base: 70, patchId: 'revert', author: 'operator', dryRun: false, patch: [{ op: 'remove', path: '/models/m70' }] }
    expect((await fleet.time.until(store.patch(revert))).unsafeCoerce().version).to.equal(71)
    const history = (await fleet.time.until(store.history(3))).unsafeCoerce()
    expect(history.map(entry => entry.patchId)).to.deep.equal(['revert', 'm70', 'm69'])
    for (const version of [0, 1, 63, 64, 66, 69, 70, 71]) {
      const found = (await fleet.time.until(store.get(version))).unsafeCoerce().config as { models: object }
      expect(Object.keys(found.models)).to.have.length(version === 71 ? 69 : version)
    }
    expect(codeOf(await fleet.time.until(store.get(72)))).to.equal('notFound')
    const before = table.primary.calls.scan
    await fleet.time.until(fleet.vm(0).start())
    expect(fleet.vm(0).store.inForce?.version).to.equal(71)
    expect(table.primary.calls.scan - before).to.equal(1)
  })
})

describe('a VM that reads a lagging replica', () => {
  async function startLaggingFleet (): Promise<ConfigFleet> {
    const fleet = await startFleet(2)
    await acceptMany(fleet, 2)
    fleet.replica.catchUp()
    await fleet.addModel(fleet.vm(0), 2, 'm3')
    await fleet.time.run(3_000)
    fleet.vm(1).table.replica = new MemoryTableStore(fleet.replica.state)
    return fleet
  }

  it('never returns to an older version, and accepts patches only after a current read', async () => {
    const fleet = await startLaggingFleet()
    const { store } = fleet.vm(1)
    await fleet.time.run(5_000)
    expect(store.inForce?.version).to.equal(3)
    const refused = (await fleet.addModel(fleet.vm(1), 3, 'm4')).swap().unsafeCoerce()
    expect([refused.code, refused.ran]).to.deep.equal(['platformUnavailable', 'no'])
    const late = fleet.time.until(store.patch(modelPatch(3, 'm4')))
    fleet.time.after(120, () => { fleet.replica.catchUp() })
    expect((await late).unsafeCoerce().version).to.equal(4)
    expect(verifyFleet(fleet)).to.deep.equal([])
  })

  it('reports an outdated current version if its reads are not confirmed', async () => {
    const fleet = await startLaggingFleet()
    const vm = fleet.vm(1)
    const parts = { table: vm.table, objects: fleet.objects, clock: fleet.time, timers: vm, random: () => 0, log: { write: () => {} } }
    const reader = new ConfigReader(vm.table, initialConfig())
    const patcher = new ConfigPatcher(vm.table, reader, parts, () => vm.store.inForce, modelPatch(3, 'm4'))
    const refused = (await fleet.time.until(patcher.check())).swap().unsafeCoerce()
    expect(refused.message).to.equal('the patch is based on version 3, the current version is 2')
  })
})

describe('a VM that starts while the table is down', () => {
  const cases: readonly { name: string, damage: (fleet: ConfigFleet) => void, version: number | undefined }[] = [
    { name: 'all objects present', damage: () => {}, version: 66 },
    { name: 'the pointer to the latest version missing', damage: fleet => { fleet.objects.objects.delete(LATEST_OBJECT) }, version: 66 },
    { name: 'the last version damaged', damage: fleet => { fleet.objects.objects.set(deltaName(66), Buffer.from('{"version":66')) }, version: 65 },
    { name: 'the content of a version changed', damage: fleet => { replaceInObject(fleet, deltaName(66), '/m66"', '/m99"') }, version: 65 },
    { name: 'the content of the snapshot changed', damage: fleet => { replaceInObject(fleet, 'config/snapshot/', '"m7"', '"m99"') }, version: undefined },
    { name: 'object store down too', damage: fleet => { fleet.objects.outage = true }, version: undefined }
  ]
  function replaceInObject (fleet: ConfigFleet, prefix: string, from: string, to: string): void {
    const name = [...fleet.objects.objects.keys()].find(key => key.startsWith(prefix))!
    fleet.objects.objects.set(name, Buffer.from(fleet.objects.objects.get(name)!.toString().replaceAll(from, to)))
  }
  for (const { name, damage, version } of cases) {
    it(`${name}: ${version === undefined ? 'no version until a source answers' : `version ${version}, and the log says so`}`, async () => {
      const fleet = await startFleet(1)
      await acceptMany(fleet, 66)
      const vm = fleet.vm(0)
      damage(fleet)
      vm.kill()
      vm.table.cut = true
      await fleet.time.until(vm.start())
      expect(vm.store.inForce?.version).to.equal(version)
      const line = `configApplied {"version":${version},"source":"snapshot"}`
      expect(vm.log.some(text => text === line)).to.equal(version !== undefined)
      vm.table.cut = false
      await fleet.time.run(3_000)
      expect(vm.store.inForce?.version).to.equal(66)
    })
  }

  it('starts with the newest version although the object store was down for some versions', async () => {
    const fleet = await startFleet(1)
    await acceptMany(fleet, 2)
    fleet.objects.outage = true
    await fleet.addModel(fleet.vm(0), 2, 'm3')
    fleet.objects.outage = false
    await fleet.addModel(fleet.vm(0), 3, 'm4')
    fleet.vm(0).table.cut = true
    await fleet.time.until(fleet.vm(0).start())
    expect(fleet.vm(0).store.inForce?.version).to.equal(4)
  })
})
