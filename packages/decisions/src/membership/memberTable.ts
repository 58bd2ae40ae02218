/**
 * Maintains this VM's view of the fleet and decides whom to notify. Heartbeats go to a bounded number of VMs whatever the size of
 * the fleet; their recipients detect silence, and later heartbeats propagate what they find. A VM that learns that it is wrongly
 * suspected sends a heartbeat at once.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import { vmOf, type HolderId } from '../names/nameTypes.js'
import { HeartbeatPlan } from './heartbeatPlan.js'
import { instantBefore, type MemberRecord } from './memberRecord.js'
import { MemberRecords } from './memberRecords.js'
import { roleCandidates } from './memberRing.js'
import { MEMBER_ROLES } from './memberRoles.js'
import { defaultMemberLimits, type Heartbeat, type ListedVm, type MemberAction, type MemberDecider, type MemberEvent, type MemberLimits, type MemberUpdate, type MemberRow, type MemberView, type StoredMember } from './memberTypes.js'
import { LocalRow } from './localRow.js'
import { RowRequests } from './rowRequests.js'
import { RumorQueue } from './rumorQueue.js'

/** Membership as one VM sees it. */
export class MemberTable implements MemberDecider {
  private readonly records: MemberRecords
  private readonly rowRequests = new RowRequests()
  private readonly rumors: RumorQueue
  private readonly plan: HeartbeatPlan
  private readonly localRow: LocalRow
  private self: MemberRow
  private openRequests = 0
  private beat = 0
  private startedAt: Instant | undefined
  private lastTickAt: Instant | undefined
  private lastScanAt: Instant | undefined
  private lastListAt: Instant | undefined

  /**
   * @param self - the row of this process; `state` and `configVersion` change later
   * @param random - uniform in [0, 1), selects random peers
   */
  constructor (self: MemberRow, random: () => number, private readonly limits: MemberLimits = defaultMemberLimits) {
    this.self = self
    this.records = new MemberRecords(self, limits)
    this.rumors = new RumorQueue(limits.rumorTimes)
    this.plan = new HeartbeatPlan(this.rumors, random, limits)
    this.localRow = new LocalRow(self.holder, limits.renewMs)
  }

  handle (event: MemberEvent, now: Instant): readonly MemberAction[] {
    switch (event.kind) {
      case 'tick': return this.tick(now)
      case 'self': return this.updateSelf(event.configVersion, event.openRequests, now)
      case 'heartbeatReceived': return this.handleHeartbeat(event.from, event.heartbeat, now)
      case 'rowsRead': return this.applyRows(event.rows, event.whole, event.requestedAt, now)
      case 'listRead': return this.applyList(event.vms, instantBefore(event.requestedAt, event.lagMs), now)
      case 'localRowRead': return [...this.localRow.handleRead(event.found), ...this.localRow.nextCall(this.self, now)]
      case 'localRowReadFailed': return this.handleReadFailure()
      case 'localRowWritten': return this.handleWriteOutcome(event.outcome, now)
      case 'leave': return this.leave(now)
    }
  }

  members (now: Instant): readonly MemberView[] {
    const local: MemberView = { ...this.self, openRequests: this.openRequests, ageMs: 0 }
    return [local, ...this.records.views(now)].sort((a, b) => a.vm < b.vm ? -1 : Number(a.vm > b.vm))
  }

  mayBeReplaced (): boolean {
    return this.localRow.mayBeReplaced
  }

  private tick (now: Instant): readonly MemberAction[] {
    this.startedAt ??= now
    const jumped = this.detectJump(now)
    this.records.updateWatch(now)
    const changed = this.recordChanges(now, 'silence')
    return [...jumped, ...this.localRow.nextCall(this.self, now), ...changed, ...this.heartbeats(now), ...this.dueReads(now)]
  }

  private detectJump (now: Instant): readonly MemberAction[] {
    const last = this.lastTickAt
    this.lastTickAt = now
    if (last === undefined) return []
    const jumpMs = elapsedMs(last, now) - this.limits.periodMs
    if (jumpMs < this.limits.jumpMs) return []
    this.localRow.handlePause()
    this.records.resetWatch(now)
    return [{ kind: 'jumped', jumpMs }]
  }

  private updateSelf (configVersion: number | null, openRequests: number, now: Instant): readonly MemberAction[] {
    this.self = { ...this.self, configVersion }
    this.openRequests = openRequests
    return this.localRow.isRegistered ? this.localRow.nextCall(this.self, now) : []
  }

  private handleHeartbeat (from: HolderId, heartbeat: Heartbeat, now: Instant): readonly MemberAction[] {
    if (heartbeat.self.holder !== from) return []
    const localUpdates = heartbeat.news.filter(news => vmOf(news.holder) === this.self.vm)
    if (localUpdates.some(news => news.holder !== this.self.holder)) this.localRow.requireRead()
    const all = [{ ...heartbeat.self, age: 0 }, ...heartbeat.news]
    for (const news of all) this.applyUpdate(news, now)
    const isSuspectedHere = localUpdates.some(news => news.holder === this.self.holder && news.state === 'suspected')
    const reply = heartbeat.ask || isSuspectedHere ? this.replyTo(from, now) : []
    return [...this.recordChanges(now, from, all.map(news => vmOf(news.holder))), ...this.requestRows(now), ...reply]
  }

  private applyUpdate (update: MemberUpdate, now: Instant): void {
    const vm = vmOf(update.holder)
    if (vm === this.self.vm) return
    const record = this.records.get(vm)
    if (record?.holder === update.holder) record.applyUpdate(update, now)
    else this.rowRequests.markNeeded(vm)
  }

  private requestRows (now: Instant): readonly MemberAction[] {
    const vms = this.rowRequests.nextBatch(now)
    return vms.length === 0 ? [] : [{ kind: 'readRows', vms }]
  }

  private applyRows (rows: readonly StoredMember[], whole: boolean, requestedAt: Instant, now: Instant): readonly MemberAction[] {
    for (const read of rows) this.applyRow(read, requestedAt)
    if (whole) this.records.dropMissing(new Set(rows.map(read => read.row.vm)))
    this.records.updateWatch(now)
    return [...this.recordChanges(now, 'table'), ...(whole ? this.deleteExpired(now) : [])]
  }

  private applyRow (read: StoredMember, requestedAt: Instant): void {
    const { vm, holder } = read.row
    if (vm === this.self.vm) {
      if (holder !== this.self.holder && this.localRow.isRegistered) this.localRow.requireRead()
      return
    }
    this.rowRequests.answered(vm)
    this.records.applyRow(read, requestedAt)
  }

  /** Deletes rows that are past their retention; only one VM of the fleet does so. */
  private deleteExpired (now: Instant): readonly MemberAction[] {
    const [chosen] = roleCandidates(MEMBER_ROLES.placement, [this.self.vm, ...this.records.live(now)], 1)
    if (chosen !== this.self.vm) return []
    return this.records.expired(now).map(({ vm, version }) => ({ kind: 'deleteRow', vm, version }))
  }

  private applyList (vms: readonly ListedVm[], at: Instant, now: Instant): readonly MemberAction[] {
    for (const { vm, state } of vms) this.records.get(vm)?.applyListEntry(state, at)
    return this.recordChanges(now, 'list')
  }

  private handleReadFailure (): readonly MemberAction[] {
    this.localRow.handleReadFailure()
    return []
  }

  private handleWriteOutcome (outcome: Parameters<LocalRow['handleWriteOutcome']>[0], now: Instant): readonly MemberAction[] {
    this.localRow.handleWriteOutcome(outcome)
    return this.localRow.nextCall(this.self, now)
  }

  private leave (now: Instant): readonly MemberAction[] {
    this.self = { ...this.self, state: 'leaving' }
    this.localRow.requireWrite()
    this.beat += 1
    const recipients = this.records.participants(now).filter(record => record.domain === this.self.domain || this.records.size < this.limits.meshMembers)
    return [...this.sendHeartbeat(recipients, [], false, now), ...this.localRow.nextCall(this.self, now)]
  }

  private heartbeats (now: Instant): readonly MemberAction[] {
    this.beat += 1
    const planned = this.plan.next({
      self: this.self,
      states: this.records.states(now),
      participants: this.records.participants(now),
      beat: this.beat,
      silenceMs: record => record.silenceMs(now)
    })
    return planned.flatMap(({ to, about, ask }) => this.sendHeartbeat(to, about, ask, now))
  }

  private replyTo (from: HolderId, now: Instant): readonly MemberAction[] {
    const record = this.records.get(vmOf(from))
    return record === undefined ? [] : this.sendHeartbeat([record], [], false, now)
  }

  private sendHeartbeat (to: readonly MemberRecord[], about: readonly string[], ask: boolean, now: Instant): readonly MemberAction[] {
    if (to.length === 0) return []
    const updates = [...new Set(about)].flatMap(vm => {
      const record = this.records.get(vm)
      return record?.news(this.records.stateOf(record, now), now) ?? []
    })
    return [{ kind: 'beat', to: to.map(record => record.peers), heartbeat: { self: this.localUpdate(), news: updates, ask } }]
  }

  private localUpdate (): MemberUpdate {
    const { holder, state, configVersion } = this.self
    return { holder, beat: this.beat, state, config: configVersion, open: this.openRequests, age: 0 }
  }

  private dueReads (now: Instant): readonly MemberAction[] {
    const size = this.records.size
    const actions: MemberAction[] = []
    if (isDue(this.lastScanAt, now, this.scanPeriodMs(size, now))) {
      this.lastScanAt = now
      actions.push({ kind: 'scan' })
    }
    if (isDue(this.lastListAt, now, Math.max(this.limits.listMs, size * this.limits.listMsPerMember))) {
      this.lastListAt = now
      actions.push({ kind: 'readList' })
    }
    return [...actions, ...this.requestRows(now)]
  }

  /** Scans are frequent after the start, when many VMs may start together. */
  private scanPeriodMs (size: number, now: Instant): number {
    const stablePeriodMs = Math.max(this.limits.scanMs, size * this.limits.scanMsPerMember)
    const sinceStartMs = this.startedAt === undefined ? 0 : elapsedMs(this.startedAt, now)
    return Math.min(stablePeriodMs, Math.max(this.limits.periodMs, sinceStartMs))
  }

  private recordChanges (now: Instant, evidence: string, vms?: Iterable<string>): readonly MemberAction[] {
    return this.records.changes(now, vms).map(({ vm, state }) => {
      this.rumors.add(vm)
      return { kind: 'changed', vm, state, evidence }
    })
  }
}

function isDue (lastAt: Instant | undefined, now: Instant, periodMs: number): boolean {
  return lastAt === undefined || elapsedMs(lastAt, now) >= periodMs
}
