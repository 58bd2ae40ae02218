/**
 * Configuration propagation under faults of the table, the object store and messages between VMs: no VM regresses, and all
 * VMs converge.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { MonotonicConfigDecider, type ConfigAction, type ConfigDecider, type ConfigEvent, type ConfigStatus } from '@rosemaryspread/decisions/config/configDecider.js'
import { initialConfig, type VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { PUSH_METHOD } from 'rosemaryspread/config/configPropagation.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'
import { ConfigFleet, modelPatch, type FleetVm } from './configFleet.js'
import { verifyFleet, versionRows, type ReportedOutcome } from './configVerifier.js'

const PROPAGATION_MS = 2_000
/** Seeds played for each fault. */
const PLAYS = 40
/** Milliseconds by which a fault lasts longer from seed to seed, so that it ends at any moment between two polls. */
const EXTENSION_STEP_MS = 100
/** Time limit of a table call by default. */
const TABLE_TIMEOUT_MS = 2_000

/** Counter-example: applies whatever was delivered last, if it verifies, even an older version. */
class RegressingDecider implements ConfigDecider {
  readonly #seen = new Map<number, VerifiedConfig>([[0, initialConfig()]])
  #inner = new MonotonicConfigDecider(initialConfig())

  get inForce (): VerifiedConfig | undefined { return this.#inner.inForce }
  get status (): ConfigStatus { return this.#inner.status }

  decide (event: ConfigEvent, now: Instant): readonly ConfigAction[] {
    if (event.kind === 'delivered') {
      const base = this.#seen.get((event.candidate.rows[0]?.version ?? 1) - 1)
      if (base !== undefined) this.#inner = new MonotonicConfigDecider(base)
    }
    const actions = this.#inner.decide(event, now)
    if (this.inForce !== undefined) this.#seen.set(this.inForce.version, this.inForce)
    return actions
  }
}

const versionsInForce = (fleet: ConfigFleet): (number | undefined)[] => fleet.vms.map(vm => vm.store.inForce?.version)

describe('faults during configuration propagation', () => {
  interface FaultCase {
    name: string
    /** Starts the fault, after three patches. */
    begin: (fleet: ConfigFleet, vm: FleetVm) => void | Promise<void>
    end: (fleet: ConfigFleet, vm: FleetVm) => void | Promise<void>
    /** Whether the faulty VM still applies each version within the propagation time. */
    follows: boolean
    /** Longer when a peer has to poll before this VM can. */
    withinMs?: number
  }
  const cases: readonly FaultCase[] = [
    { name: 'none', begin: () => {}, end: () => {}, follows: true },
    { name: 'all pushes lost', begin: fleet => { fleet.isLost = (_from, _to, method) => method === PUSH_METHOD }, end: fleet => { fleet.isLost = () => false }, follows: true },
    { name: 'all messages between VMs lost', begin: fleet => { fleet.isLost = () => true }, end: fleet => { fleet.isLost = () => false }, follows: true },
    { name: 'the table slow on one VM', begin: (_, vm) => { vm.extraTableMs = 4_000 }, end: (_, vm) => { vm.extraTableMs = 0 }, follows: true },
    { name: 'one VM cut off from the table', begin: (_, vm) => { vm.table.cut = true }, end: (_, vm) => { vm.table.cut = false }, follows: true },
    { name: 'one VM cut off from the table and pushes lost', begin: (fleet, vm) => { vm.table.cut = true; fleet.isLost = (_from, _to, method) => method === PUSH_METHOD }, end: (fleet, vm) => { vm.table.cut = false; fleet.isLost = () => false }, follows: true, withinMs: 2_500 },
    { name: 'one VM cut off from everything', begin: (fleet, vm) => { vm.table.cut = true; fleet.isLost = (from, to) => from === vm || to === vm }, end: (fleet, vm) => { vm.table.cut = false; fleet.isLost = () => false }, follows: false },
    { name: 'one VM cut off from everything, and its table calls time out', begin: (fleet, vm) => { vm.table.cut = true; vm.table.cutTimeoutMs = TABLE_TIMEOUT_MS; fleet.isLost = (from, to) => from === vm || to === vm }, end: (fleet, vm) => { vm.table.cut = false; fleet.isLost = () => false }, follows: false },
    { name: 'one VM reads a lagging replica', begin: (fleet, vm) => { vm.table.replica = new MemoryTableStore(fleet.replica.state) }, end: (_, vm) => { vm.table.replica = undefined }, follows: true },
    { name: 'one VM frozen', begin: (_, vm) => { vm.freeze() }, end: (_, vm) => { vm.thaw() }, follows: false },
    { name: 'one VM restarted', begin: async (fleet, vm) => { vm.kill(); await fleet.time.until(vm.start()) }, end: () => {}, follows: true },
    { name: 'one VM restarted while cut off from the table', begin: async (fleet, vm) => { vm.kill(); vm.table.cut = true; await fleet.time.until(vm.start()) }, end: (_, vm) => { vm.table.cut = false }, follows: true }
  ]
  /** @param extendedMs - milliseconds by which the fault lasts longer */
  async function propagateThrough ({ begin, end, follows, withinMs = PROPAGATION_MS }: FaultCase, seed: string, extendedMs = 0): Promise<void> {
    const fleet = new ConfigFleet({ vms: 6, seed })
    await fleet.start()
    for (let base = 0; base < 3; base++) await fleet.addModel(fleet.vm(0), base, `m${base}`)
    await fleet.time.run(PROPAGATION_MS)
    const vm = fleet.vm(3)
    await begin(fleet, vm)
    for (let base = 3; base < 6; base++) {
      await fleet.addModel(fleet.vm(base % 3), base, `m${base}`)
      await fleet.time.run(withinMs)
    }
    const others = [6, 6, 6, 6, 6]
    expect(versionsInForce(fleet)).to.deep.equal([...others.slice(0, 3), follows ? 6 : 3, ...others.slice(3)])
    await fleet.time.run(extendedMs)
    await end(fleet, vm)
    await fleet.time.run(PROPAGATION_MS)
    expect(versionsInForce(fleet)).to.deep.equal([6, ...others])
    expect(verifyFleet(fleet)).to.deep.equal([])
  }

  for (const fault of cases) {
    it(`${fault.name}: the VM ${fault.follows ? 'follows' : 'keeps its version, then follows'}, and no VM regresses`, async () => {
      await propagateThrough(fault, fault.name)
    })

    for (const stepMs of [0, EXTENSION_STEP_MS]) {
      it(`${fault.name}, with other seeds${stepMs > 0 ? ', for up to 4 s longer' : ''}: no VM is late`, async () => {
        const late: string[] = []
        for (let play = 0; play < PLAYS; play += 1) await propagateThrough(fault, `trial${play}`, play * stepMs).catch(() => { late.push(`trial${play}`) })
        expect(late).to.deep.equal([])
      })
    }
  }

  it('all VMs restarted at once while the table is down: the accepted version is in force', async () => {
    const fleet = new ConfigFleet({ vms: 6, seed: 'whole' })
    await fleet.start()
    for (let base = 0; base < 5; base++) await fleet.addModel(fleet.vm(base), base, `m${base}`).then(async () => { await fleet.time.run(PROPAGATION_MS) })
    for (const vm of fleet.vms) vm.kill()
    for (const vm of fleet.vms) vm.table.cut = true
    await fleet.start()
    expect(versionsInForce(fleet)).to.deep.equal([5, 5, 5, 5, 5, 5])
    for (const vm of fleet.vms) vm.table.cut = false
    expect((await fleet.addModel(fleet.vm(2), 5, 'm5')).isRight()).to.equal(true)
    await fleet.time.run(PROPAGATION_MS)
    expect(versionsInForce(fleet)).to.deep.equal([6, 6, 6, 6, 6, 6])
    expect(verifyFleet(fleet)).to.deep.equal([])
  })

  it('a new process without table and object store starts with the version of a peer', async () => {
    const fleet = new ConfigFleet({ vms: 2, seed: 'peer' })
    await fleet.start()
    for (let base = 0; base < 3; base++) await fleet.addModel(fleet.vm(0), base, `m${base}`)
    const vm = fleet.vm(1)
    vm.kill()
    vm.table.cut = true
    fleet.objects.outage = true
    await fleet.time.until(vm.start())
    expect(vm.store.inForce).to.equal(undefined)
    await fleet.time.run(PROPAGATION_MS)
    expect(vm.log).to.include('configApplied {"version":3,"source":"peer"}')
  })

  it('objects missing after an outage of the object store are written at the next check', async () => {
    const fleet = new ConfigFleet({ vms: 2, seed: 'repair' })
    await fleet.start()
    fleet.objects.outage = true
    for (let base = 0; base < 3; base++) await fleet.addModel(fleet.vm(0), base, `m${base}`)
    fleet.objects.outage = false
    const vm = fleet.vm(1)
    vm.kill()
    vm.table.cut = true
    await fleet.time.until(vm.start())
    expect(vm.store.inForce).to.equal(undefined)
    vm.kill()
    await fleet.time.run(80_000)
    await fleet.time.until(vm.start())
    expect(vm.log).to.include('configApplied {"version":3,"source":"snapshot"}')
  })

  it('a new process that gets a push of an older version while it loads starts with the newest', async () => {
    const fleet = new ConfigFleet({ vms: 2, seed: 'fresh' })
    await fleet.start()
    for (let base = 0; base < 3; base++) await fleet.addModel(fleet.vm(0), base, `m${base}`)
    await fleet.time.run(PROPAGATION_MS)
    const vm = fleet.vm(1)
    vm.kill()
    vm.extraTableMs = 300
    vm.start().catch(() => {})
    await vm.propagation.onPush({ version: 1, digest: versionRows(fleet)[0]!.digest, from: 'vm1' })
    await fleet.time.run(PROPAGATION_MS)
    expect(vm.store.inForce?.version).to.equal(3)
    expect(verifyFleet(fleet)).to.deep.equal([])
  })

  async function frozenFetch (createDecider?: () => ConfigDecider): Promise<readonly string[]> {
    const fleet = new ConfigFleet({ vms: 3, seed: 'freeze', ...(createDecider === undefined ? {} : { holder: createDecider }) })
    await fleet.start()
    const vm = fleet.vm(2)
    vm.extraTableMs = 700
    for (let base = 0; base < 4; base++) {
      await fleet.addModel(fleet.vm(0), base, `m${base}`)
      await fleet.time.run(450)
    }
    vm.freeze()
    await fleet.addModel(fleet.vm(0), 4, 'm4')
    await fleet.time.run(20_000)
    vm.thaw()
    vm.extraTableMs = 0
    await fleet.time.run(PROPAGATION_MS)
    expect(vm.store.inForce?.version).to.equal(5)
    return verifyFleet(fleet)
  }
  it('a VM frozen while it fetches does not regress when it resumes', async () => { expect(await frozenFetch()).to.deep.equal([]) })
  it('the verifier detects a decider that applies the last answer (counter-example)', async () => {
    expect((await frozenFetch(() => new RegressingDecider())).join()).to.include('regressed')
  })
})

type Command =
  | { readonly kind: 'patch', readonly vm: number }
  | { readonly kind: 'resend', readonly vm: number, readonly which: number }
  | { readonly kind: 'lose', readonly vm: number, readonly what: 'loseAnswers' | 'loseRequests' }
  | { readonly kind: 'cut' | 'freeze' | 'restart' | 'lag' | 'heal', readonly vm: number }
  | { readonly kind: 'wait', readonly ms: number }

/** Operators that patch and resend at several VMs, under faults. */
class OperatorRun {
  readonly reported: ReportedOutcome[] = []
  #sent: { base: number, patchId: string }[] = []

  constructor (readonly fleet: ConfigFleet) {}

  async execute (commands: readonly Command[]): Promise<void> {
    await this.fleet.start()
    for (const command of commands) await this.#step(command)
    for (const vm of this.fleet.vms) this.#heal(vm)
    await this.fleet.time.run(30_000)
  }

  async #step (command: Command): Promise<void> {
    const { fleet } = this
    if (command.kind === 'wait') return await fleet.time.run(command.ms)
    const vm = fleet.vm(command.vm)
    switch (command.kind) {
      case 'patch': return this.#send(vm, { base: vm.store.inForce?.version ?? 0, patchId: `p${this.#sent.length}` })
      case 'resend': return this.#send(vm, this.#sent[command.which % Math.max(this.#sent.length, 1)])
      case 'lose': vm.table.primary[command.what]++; break
      case 'cut': vm.table.cut = true; break
      case 'freeze': vm.freeze(); break
      case 'lag': vm.table.replica = new MemoryTableStore(fleet.replica.state); break
      case 'heal': this.#heal(vm); break
      case 'restart': vm.kill(); vm.thaw(); vm.start().catch(() => {}); break
    }
    await fleet.time.run(1)
  }

  #send (vm: FleetVm, patch: { base: number, patchId: string } | undefined): void {
    if (patch === undefined) return
    this.#sent.push(patch)
    const { patchId } = patch
    this.reported.push({ patchId, outcome: 'unknown' })
    const index = this.reported.length - 1
    vm.store.patch(modelPatch(patch.base, patchId)).then(result => {
      this.reported[index] = result.caseOf<ReportedOutcome>({
        Left: failure => ({ patchId, outcome: failure.ran === 'no' ? 'notRun' : 'unknown' }),
        Right: ({ version }) => ({ patchId, outcome: 'accepted', version })
      })
    }, () => {})
  }

  #heal (vm: FleetVm): void {
    this.fleet.replica.catchUp()
    vm.table.cut = false
    vm.table.replica = undefined
    Object.assign(vm.table.primary, { loseAnswers: 0, loseRequests: 0 })
    vm.thaw()
  }
}

describe('operators and faults in any order', () => {
  const vm = fc.integer({ min: 0, max: 3 })
  const command = fc.oneof(
    { weight: 5, arbitrary: fc.record({ kind: fc.constant('patch' as const), vm }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('resend' as const), vm, which: fc.nat(20) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('lose' as const), vm, what: fc.constantFrom('loseAnswers' as const, 'loseRequests' as const) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('cut' as const, 'freeze' as const, 'restart' as const, 'lag' as const, 'heal' as const), vm }) },
    { weight: 5, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 1_500 }) }) }
  )

  it('versions form a chain, each accepted patch occurs once, no VM regresses, all VMs converge', async () => {
    let accepted = 0
    await fc.assert(fc.asyncProperty(fc.array(command, { minLength: 10, maxLength: 60 }), fc.integer(), async (commands, seed) => {
      const run = new OperatorRun(new ConfigFleet({ vms: 4, seed: String(seed), tableMs: 5 }))
      await run.execute(commands)
      const newest = versionRows(run.fleet).length
      accepted += newest
      run.fleet.stop()
      expect(verifyFleet(run.fleet, run.reported)).to.deep.equal([])
      expect(versionsInForce(run.fleet)).to.deep.equal([newest, newest, newest, newest])
    }), { seed: 3, numRuns: 80 })
    expect(accepted).to.be.greaterThan(100)
  })
})
