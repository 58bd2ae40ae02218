/**
 * Executes the actions of the membership table: heartbeats over the links between VMs, rows in the
 * table service, and reads of the platform's VM list. Also provides the members and the addresses
 * for callers.
 */
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { addressesFor, type CallerAddresses } from '@rosemaryspread/decisions/membership/callerAddresses.js'
import { roleCandidates } from '@rosemaryspread/decisions/membership/memberRing.js'
import { ROLE_CANDIDATES } from '@rosemaryspread/decisions/membership/memberRoles.js'
import { MemberTable } from '@rosemaryspread/decisions/membership/memberTable.js'
import { defaultMemberLimits, heartbeatSchema, type MemberAction, type MemberEvent, type MemberLimits, type MemberRow, type MemberView } from '@rosemaryspread/decisions/membership/memberTypes.js'
import type { HolderId } from '@rosemaryspread/decisions/names/nameTypes.js'
import type { PeerNotifier, PeerServer } from '@rosemaryspread/peers/link/linkTypes.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { VmList } from '@rosemaryspread/infra/vmList/vmListTypes.js'
import { MemberRows } from './memberRows.js'

/** RPC method of heartbeats between VMs; short because each heartbeat carries it. */
export const HEARTBEAT_METHOD = 'beat'

/** Share of the period by which tick times vary, so that VMs started together do not stay in step. */
const JITTER_RATIO = 0.2

/** Current status of this VM. */
export interface MemberStatus {
  readonly configVersion: number | null
  readonly openRequests: number
}

export interface MemberDriverOptions {
  /** Initial row of this process. */
  readonly self: MemberRow
  readonly table: TableStore
  readonly vmList: VmList
  readonly client: PeerNotifier
  readonly server: PeerServer
  readonly clock: Clock
  readonly log: EventLog
  /** Uniform in [0, 1). */
  readonly random: () => number
  readonly status: () => MemberStatus
  /** Called when another process runs under the name of this VM; this process must stop. */
  readonly onReplaced: (by: HolderId) => void
  /** Called when a heartbeat carries a configuration version; `address` is the peer address of its sender. */
  readonly onConfigVersion?: (version: number, address: string) => void
  readonly limits?: MemberLimits
}

/** Runs the membership of this VM. */
export class MemberDriver {
  private readonly memberTable: MemberTable
  private readonly rows: MemberRows
  private readonly limits: MemberLimits
  private timer: NodeJS.Timeout | undefined
  private running = false

  constructor (private readonly options: MemberDriverOptions) {
    this.limits = options.limits ?? defaultMemberLimits
    this.memberTable = new MemberTable(options.self, options.random, this.limits)
    this.rows = new MemberRows(options.table, options.log)
  }

  /**
   * Registers the heartbeat method, writes the local row and reads the others. Resolves after the
   * first attempt; while the table is unavailable, attempts continue in the background.
   */
  async start (): Promise<void> {
    this.options.server.register(HEARTBEAT_METHOD, async (params, from) => { await this.handleHeartbeat(params, from) })
    this.running = true
    const first = this.tick()
    this.schedule()
    await first
  }

  /** Runs one period; resolves when every call that it started has ended. */
  async tick (): Promise<void> {
    const { configVersion, openRequests } = this.options.status()
    await this.dispatch({ kind: 'self', configVersion, openRequests })
    await this.dispatch({ kind: 'tick' })
  }

  /** Stops the heartbeats. */
  stop (): void {
    this.running = false
    clearTimeout(this.timer)
  }

  /** All current members, this VM included. */
  members (): readonly MemberView[] {
    return this.memberTable.members(this.now())
  }

  /** Whether a pause was detected and the local row has not been read since. */
  mayBeReplaced (): boolean {
    return this.memberTable.mayBeReplaced()
  }

  /**
   * Addresses for callers, as IPv4:port.
   * @param keepMs - how long callers may cache them
   * @param team - team of the caller, when it is known
   */
  addresses (keepMs: number, team?: string): CallerAddresses {
    return addressesFor(this.options.self, this.members(), keepMs, this.options.random, team)
  }

  /**
   * Whether this VM should try to acquire the lease of a role.
   * @param domain - the failure domain whose VMs may hold it; absent when every VM may
   */
  isCandidate (role: string, domain?: string): boolean {
    const live = this.members().filter(member => member.state === 'live' && (domain === undefined || member.domain === domain))
    return roleCandidates(role, live.map(member => member.vm), ROLE_CANDIDATES).includes(this.options.self.vm)
  }

  /** Notifies the other VMs immediately that this one accepts no new work, and writes it to the table. */
  async announceLeaving (): Promise<void> {
    await this.dispatch({ kind: 'leave' })
  }

  private schedule (): void {
    const waitMs = this.limits.periodMs * (1 + (this.options.random() - 0.5) * JITTER_RATIO)
    this.timer = setTimeout(() => {
      if (!this.running) return
      this.schedule()
      this.tick().catch((err: unknown) => this.options.log.write('fault', { err }))
    }, waitMs)
  }

  private async handleHeartbeat (params: unknown, from: HolderId): Promise<void> {
    const heartbeat = heartbeatSchema.parse(params)
    await this.dispatch({ kind: 'heartbeatReceived', from, heartbeat })
    this.reportConfigVersion(heartbeat.self.config, from)
  }

  private reportConfigVersion (version: number | null, from: HolderId): void {
    if (version === null || this.options.onConfigVersion === undefined) return
    const sender = this.members().find(member => member.holder === from)
    if (sender !== undefined) this.options.onConfigVersion(version, sender.peers)
  }

  private async dispatch (event: MemberEvent): Promise<void> {
    const actions = this.memberTable.handle(event, this.now())
    await Promise.all(actions.map(async action => { await this.execute(action) }))
  }

  private async execute (action: MemberAction): Promise<void> {
    const requestedAt = this.now()
    const { self, log } = this.options
    switch (action.kind) {
      case 'beat': return this.send(action.to, action.heartbeat)
      case 'scan': return await this.dispatchRead(await this.rows.scan(), true, requestedAt)
      case 'readRows': return await this.dispatchRead(await this.rows.read(action.vms), false, requestedAt)
      case 'readList': return await this.readList(requestedAt)
      case 'readLocalRow': return await this.dispatch(await this.rows.readLocalRow(self.vm))
      case 'writeLocalRow': return await this.dispatch({ kind: 'localRowWritten', outcome: await this.rows.writeLocalRow(action.row, action.version) })
      case 'deleteRow': return await this.rows.deleteRow(action.vm, action.version)
      case 'changed': return log.write('peerSeen', { peer: action.vm, state: action.state, evidence: action.evidence })
      case 'jumped': return log.write('clockJumped', { jumpMs: Math.round(action.jumpMs) })
      case 'replaced': return this.options.onReplaced(action.by)
    }
  }

  private send (to: readonly string[], heartbeat: unknown): void {
    for (const address of to) this.options.client.notify(address, HEARTBEAT_METHOD, heartbeat)
  }

  private async dispatchRead (read: Awaited<ReturnType<MemberRows['scan']>>, isFullScan: boolean, requestedAt: Instant): Promise<void> {
    if (read !== undefined) await this.dispatch({ kind: 'rowsRead', rows: read, whole: isFullScan, requestedAt })
  }

  private async readList (requestedAt: Instant): Promise<void> {
    const answer = await this.options.vmList.list()
    const list = answer.caseOf({ Left: err => this.fault(err), Right: value => value })
    if (list === undefined) return
    await this.dispatch({ kind: 'listRead', vms: list.vms, lagMs: Math.max(0, list.now - list.asOf), requestedAt })
  }

  private fault (err: Failure): undefined {
    this.options.log.write('platformFault', { service: 'vmList', operation: 'list', code: err.code })
  }

  private now (): Instant {
    return this.options.clock.now()
  }
}
