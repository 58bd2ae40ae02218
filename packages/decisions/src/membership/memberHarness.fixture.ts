/**
 * Harness that runs several membership deciders in one process, with a table, a lagging list and links that can be cut. Time
 * advances only when a test says so.
 */
import { MemberTable } from './memberTable.js'
import type { Heartbeat, ListedVm, MemberAction, MemberEvent, MemberRow, MemberState } from './memberTypes.js'

interface StoredRow {
  readonly row: MemberRow
  readonly version: number
  readonly updatedAt: number
}

/** One VM of the fleet. */
export class HarnessVm {
  readonly table: MemberTable
  readonly actions: MemberAction[] = []
  frozen = false
  dead = false
  /** Stops the monotonic clock, as some hypervisors do during a pause. */
  monoStopped = false
  mono = 0

  constructor (readonly row: MemberRow, readonly fleet: MemberHarness) {
    this.table = new MemberTable(row, fleet.random)
  }

  get active (): boolean {
    return !this.frozen && !this.dead
  }

  feed (event: MemberEvent): void {
    const actions = this.table.handle(event, this.now())
    this.actions.push(...actions)
    for (const action of actions) this.fleet.execute(this, action)
  }

  now (): { mono: number, wall: number } {
    return { mono: this.mono, wall: this.fleet.time }
  }

  stateOf (vm: string): MemberState | undefined {
    return this.table.members(this.now()).find(member => member.vm === vm)?.state
  }

  count (kind: MemberAction['kind']): number {
    return this.actions.filter(action => action.kind === kind).length
  }
}

/** A fleet of VMs; names are `<domain>-<number>`. */
export class MemberHarness {
  time = 1_000_000
  readonly vms: HarnessVm[] = []
  readonly rows = new Map<string, StoredRow>()
  tableDown = false
  /** Responses to writes to drop, after the writes took effect. */
  loseAnswers = 0
  /** Pairs of domains that cannot reach each other, as `a|b`. */
  readonly cuts = new Set<string>()
  /** The platform's list as of a time. */
  list: { readonly asOf: number, readonly vms: readonly ListedVm[] } = { asOf: 0, vms: [] }
  messages = 0
  /** Called for each message that is sent. */
  onMessage: (from: HarnessVm, to: string, heartbeat: Heartbeat) => void = () => {}
  private nextVersion = 1
  private seed = 7

  readonly random = (): number => {
    this.seed = (Math.imul(this.seed, 1_103_515_245) + 12_345) >>> 0
    return this.seed / 2 ** 32
  }

  add (domain: string, number: number, incarnation: number | string = 1): HarnessVm {
    const vm = `${domain}-${number}`
    const port = 7000 + this.vms.length
    const address = `127.0.0.1:${port}`
    const row: MemberRow = { vm, holder: `${vm}~${incarnation}`, domain, region: 'r', callers: address, operators: address, peers: address, state: 'live', configVersion: 1, capacity: 1 }
    const added = new HarnessVm(row, this)
    this.vms.push(added)
    return added
  }

  /** Advances time in steps of a period; every active VM ticks once in each. */
  run (periods: number, periodMs = 1_000): void {
    for (let i = 0; i < periods; i += 1) {
      this.time += periodMs
      for (const vm of this.vms) {
        if (!vm.monoStopped) vm.mono += periodMs
      }
      for (const vm of this.vms) {
        if (vm.active) vm.feed({ kind: 'tick' })
      }
    }
  }

  execute (vm: HarnessVm, action: MemberAction): void {
    const requestedAt = vm.now()
    switch (action.kind) {
      case 'beat':
        for (const to of action.to) this.deliver(vm, to, action)
        return
      case 'scan': return this.readRows(vm, [...this.rows.keys()], true)
      case 'readRows': return this.readRows(vm, action.vms, false)
      case 'readList': return vm.feed({ kind: 'listRead', vms: this.list.vms, lagMs: this.time - this.list.asOf, requestedAt })
      case 'readLocalRow': return this.readLocalRow(vm)
      case 'deleteRow':
        if (this.rows.get(action.vm)?.version === action.version) this.rows.delete(action.vm)
        return
      case 'writeLocalRow': return this.write(vm, action.row, action.version)
    }
  }

  /** Writes a row on behalf of a test if its version matches; returns the new version. */
  store (row: MemberRow, version: number | null): number | undefined {
    const stored = this.rows.get(row.vm)
    if ((stored?.version ?? null) !== version) return undefined
    this.nextVersion += 1
    this.rows.set(row.vm, { row, version: this.nextVersion, updatedAt: this.time })
    return this.nextVersion
  }

  private deliver (from: HarnessVm, address: string, action: Extract<MemberAction, { kind: 'beat' }>): void {
    this.messages += 1
    this.onMessage(from, address, action.heartbeat)
    const to = this.vms.find(vm => vm.row.peers === address)
    if (to === undefined || !to.active) return
    if (this.cuts.has(`${from.row.domain}|${to.row.domain}`) || this.cuts.has(`${to.row.domain}|${from.row.domain}`)) return
    to.feed({ kind: 'heartbeatReceived', from: from.row.holder, heartbeat: action.heartbeat })
  }

  private readRows (vm: HarnessVm, keys: readonly string[], whole: boolean): void {
    if (this.tableDown) return
    const rows = keys.flatMap(key => this.rows.get(key) ?? [])
    const read = rows.map(({ row, version, updatedAt }) => ({ row, version, ageMs: this.time - updatedAt }))
    vm.feed({ kind: 'rowsRead', rows: read, whole, requestedAt: vm.now() })
  }

  private readLocalRow (vm: HarnessVm): void {
    if (this.tableDown) return vm.feed({ kind: 'localRowReadFailed' })
    const stored = this.rows.get(vm.row.vm)
    vm.feed({ kind: 'localRowRead', found: stored === undefined ? null : { holder: stored.row.holder, version: stored.version } })
  }

  private write (vm: HarnessVm, row: MemberRow, version: number | null): void {
    if (this.tableDown) return vm.feed({ kind: 'localRowWritten', outcome: { kind: 'unavailable' } })
    const written = this.store(row, version)
    if (written === undefined) return vm.feed({ kind: 'localRowWritten', outcome: { kind: 'conflict' } })
    const isLost = this.loseAnswers > 0
    if (isLost) this.loseAnswers -= 1
    vm.feed({ kind: 'localRowWritten', outcome: isLost ? { kind: 'unknown' } : { kind: 'written', version: written } })
  }
}
