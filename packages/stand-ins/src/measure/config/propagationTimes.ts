/**
 * Propagation time of a configuration under faults: from the acceptance of a version until it is in
 * force on every VM. Runs the product's code in virtual time with simulated latencies and faults.
 */
import { VERSION_TABLE } from '@rosemaryspread/decisions/config/configRows.js'
import { PUSH_METHOD } from 'rosemaryspread/config/configPropagation.js'
import { ConfigFleet, modelPatch, type FleetVm } from '../../config/configFleet.js'
import { verifyFleet } from '../../config/configVerifier.js'
import type { MeasureRow } from '../measureTypes.js'

const VMS = 6
const PATCHES = 250
/** Bounds of the random gap between two patches. */
const MIN_GAP_MS = 2_500
const MAX_GAP_MS = 6_000
/** Boot time of a restarted VM. */
const BOOT_MS = 1_000

/** Timeout of a patch, for an accepting VM that was terminated. */
const PATCH_TIMEOUT_MS = 20_000

/** A fault and when it is injected. */
interface PropagationCase {
  readonly name: string
  setUp? (fleet: ConfigFleet): void
  /** Called before each patch. */
  beforePatch? (fleet: ConfigFleet, acceptor: FleetVm): void
  /** Called when the version is committed, before its acceptor continues. */
  onAccept? (fleet: ConfigFleet, acceptor: FleetVm): void
}

function scheduleRestart (fleet: ConfigFleet, vm: FleetVm, delayMs: number): void {
  fleet.time.after(delayMs, () => {
    vm.kill()
    fleet.time.after(BOOT_MS, () => { vm.start().catch(() => {}) })
  })
}

const slowTable = (ms: number) => (fleet: ConfigFleet): void => {
  for (const vm of fleet.vms) vm.extraTableMs = ms
}
const losePushes = (fleet: ConfigFleet): void => { fleet.isLost = (_from, _to, method) => method === PUSH_METHOD }

const cases: readonly PropagationCase[] = [
  { name: 'no fault' },
  { name: 'half of the pushes lost', setUp: fleet => { fleet.isLost = (_from, _to, method) => method === PUSH_METHOD && fleet.random() < 0.5 } },
  { name: 'all pushes lost (polls alone)', setUp: losePushes },
  { name: 'all messages between VMs lost', setUp: fleet => { fleet.isLost = () => true } },
  { name: 'table slow, 0.5 s a call', setUp: slowTable(250) },
  { name: 'table slow, 4 s a call', setUp: slowTable(2_000) },
  { name: 'table slow, 0.5 s a call, all pushes lost', setUp: fleet => { slowTable(250)(fleet); losePushes(fleet) } },
  { name: 'one VM cut off from the table', setUp: fleet => { fleet.vm(5).table.cut = true } },
  {
    name: 'one other VM restarts around each patch, 1 s to boot',
    beforePatch: (fleet, acceptor) => scheduleRestart(fleet, randomOtherVm(fleet, acceptor), fleet.random() * 200)
  },
  { name: 'the accepting VM restarts as it accepts, 1 s to boot', onAccept: (fleet, acceptor) => scheduleRestart(fleet, acceptor, 0) }
]

function randomOtherVm (fleet: ConfigFleet, acceptor: FleetVm): FleetVm {
  const index = Math.floor(fleet.random() * (VMS - 1))
  const vm = fleet.vm(index)
  return vm === acceptor ? fleet.vm(VMS - 1) : vm
}

/**
 * Quantile by nearest rank.
 * @param sorted - values in ascending order
 * @param share - 0 to 1
 */
export function quantile (sorted: readonly number[], share: number): number {
  const index = Math.min(Math.ceil(sorted.length * share), sorted.length) - 1
  return sorted[Math.max(index, 0)] ?? Number.NaN
}

/** Runs one case on a fresh fleet. */
class PropagationRun {
  readonly #fleet: ConfigFleet
  readonly #acceptedAt = new Map<number, number>()
  readonly #answerTimesMs: number[] = []
  #acceptor: FleetVm | undefined

  constructor (private readonly propagationCase: PropagationCase, seed: string) {
    this.#fleet = new ConfigFleet({ vms: VMS, seed: `${seed}/${propagationCase.name}` })
    this.#fleet.state.onCommit(rows => {
      if (!rows.some(row => row.table === VERSION_TABLE)) return
      this.#acceptedAt.set(this.#acceptedAt.size + 1, this.#fleet.time.now().mono)
      if (this.#acceptor !== undefined) this.propagationCase.onAccept?.(this.#fleet, this.#acceptor)
    })
  }

  async run (): Promise<MeasureRow> {
    const fleet = this.#fleet
    await fleet.start()
    this.propagationCase.setUp?.(fleet)
    await fleet.time.run(MAX_GAP_MS)
    for (let patch = 0; patch < PATCHES; patch++) {
      await this.#applyPatch(patch)
      await fleet.time.run(MIN_GAP_MS + fleet.random() * (MAX_GAP_MS - MIN_GAP_MS))
    }
    await fleet.time.run(2 * MAX_GAP_MS)
    fleet.stop()
    return this.#toRow()
  }

  async #applyPatch (patch: number): Promise<void> {
    const fleet = this.#fleet
    const acceptor = fleet.vm(Math.floor(fleet.random() * (VMS - 1)))
    this.#acceptor = acceptor
    this.propagationCase.beforePatch?.(fleet, acceptor)
    const from = fleet.time.now().mono
    const base = Math.max(0, ...fleet.vms.map(vm => vm.store.inForce?.version ?? 0))
    const answered = acceptor.store.patch(modelPatch(base, `m${patch}`)).then(result => {
      if (result.isRight()) this.#answerTimesMs.push(fleet.time.now().mono - from)
    })
    await fleet.time.until(Promise.race([answered, fleet.time.sleep(PATCH_TIMEOUT_MS)]))
  }

  #toRow (): MeasureRow {
    const versions = [...this.#acceptedAt.keys()]
    const times = versions.map(version => this.#propagationMs(version)).sort((one, other) => one - other)
    const answers = this.#answerTimesMs.sort((one, other) => one - other)
    return {
      fault: this.propagationCase.name,
      accepted: versions.length,
      p50Ms: Math.round(quantile(times, 0.5)),
      p99Ms: Math.round(quantile(times, 0.99)),
      maxMs: Math.round(quantile(times, 1)),
      answerP50Ms: answers.length === 0 ? '-' : Math.round(quantile(answers, 0.5)),
      promisesBroken: verifyFleet(this.#fleet).length
    }
  }

  /** Milliseconds until every VM had this version or a later one. */
  #propagationMs (version: number): number {
    const from = this.#acceptedAt.get(version) ?? 0
    const arrivals = this.#fleet.vms.map(({ name }) => {
      const first = this.#fleet.inForce.find(record => record.vm === name && record.version >= version)
      return (first?.at ?? Infinity) - from
    })
    return Math.max(...arrivals)
  }
}

/** Runs all cases. */
export async function measurePropagationTimes (seed: string): Promise<readonly MeasureRow[]> {
  const rows: MeasureRow[] = []
  for (const propagationCase of cases) rows.push(await new PropagationRun(propagationCase, seed).run())
  return rows
}
