/**
 * Maintains this VM's view of the fleet and decides whom to notify. Heartbeats go to a bounded number of VMs whatever the size of
 * the fleet; their recipients detect silence, and later heartbeats spread what they find. A VM that learns that it is wrongly
 * suspected sends a heartbeat at once.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import { vmOf, type HolderId } from '../names/nameTypes.js'
import { HeartbeatPlan } from './heartbeatPlan.js'
import { earlier, type MemberRecord } from './memberRecord.js'
import { MemberRecords } from './memberRecords.js'
import { roleCandidates } from './memberRing.js'
import { MEMBER_ROLES } from './memberRoles.js'
import { defaultMemberLimits, type Heartbeat, type ListedVm, type MemberAction, type MemberDecider, type MemberEvent, type MemberLimits, type MemberNews, type MemberRow, type MemberView, type ReadMember } from './memberTypes.js'
import { OwnRow } from './ownRow.js'
import { RowQuestions } from './rowQuestions.js'
import { RumorQueue } from './rumorQueue.js'

/** Membership as one VM sees it. */
export class MemberTable implements MemberDecider {
  private readonly records: MemberRecords
  private readonly questions = new RowQuestions()
  private readonly rumors: RumorQueue
  private readonly plan: HeartbeatPlan
  private readonly ownRow: OwnRow
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
    this.ownRow = new OwnRow(self.holder, limits.renewMs)
  }

  handle (event: MemberEvent, now: Instant): readonly MemberAction[] {
    switch (event.kind) {
      case 'tick': return this.tick(now)
      case 'self': return this.updateSelf(event.configVersion, event.openRequests, now)
      case 'heard': return this.hear(event.from, event.heartbeat, now)
      case 'rowsRead': return this.readRows(event.rows, event.whole, event.askedAt, now)
      case 'listRead': return this.readList(event.vms, earlier(event.askedAt, event.lagMs), now)
      case 'ownRead': return [...this.ownRow.read(event.found), ...this.ownRow.due(this.self, now)]
      case 'ownUnreadable': return this.answerUnreadable()
      case 'ownWritten': return this.answerWritten(event.outcome, now)
      case 'leave': return this.leave(now)
    }
  }

  members (now: Instant): readonly MemberView[] {
    const own: MemberView = { ...this.self, openRequests: this.openRequests, ageMs: 0 }
    return [own, ...this.records.views(now)].sort((a, b) => a.vm < b.vm ? -1 : Number(a.vm > b.vm))
  }

  mayBeReplaced (): boolean {
    return this.ownRow.mayBeReplaced
  }

  private tick (now: Instant): readonly MemberAction[] {
    this.startedAt ??= now
    const jumped = this.noticeJump(now)
    this.records.updateWatch(now)
    const changed = this.noticeChanges(now, 'silence')
    return [...jumped, ...this.ownRow.due(this.self, now), ...changed, ...this.heartbeats(now), ...this.reads(now)]
  }

  private noticeJump (now: Instant): readonly MemberAction[] {
    const last = this.lastTickAt
    this.lastTickAt = now
    if (last === undefined) return []
    const jumpMs = elapsedMs(last, now) - this.limits.periodMs
    if (jumpMs < this.limits.jumpMs) return []
    this.ownRow.doubt()
    this.records.resetWatch(now)
    return [{ kind: 'jumped', jumpMs }]
  }

  private updateSelf (configVersion: number | null, openRequests: number, now: Instant): readonly MemberAction[] {
    this.self = { ...this.self, configVersion }
    this.openRequests = openRequests
    return this.ownRow.registered ? this.ownRow.due(this.self, now) : []
  }

  private hear (from: HolderId, heartbeat: Heartbeat, now: Instant): readonly MemberAction[] {
    if (heartbeat.self.holder !== from) return []
    const ownNews = heartbeat.news.filter(news => vmOf(news.holder) === this.self.vm)
    if (ownNews.some(news => news.holder !== this.self.holder)) this.ownRow.unsure()
    const all = [{ ...heartbeat.self, age: 0 }, ...heartbeat.news]
    for (const news of all) this.hearNews(news, now)
    const isSuspectedHere = ownNews.some(news => news.holder === this.self.holder && news.state === 'suspected')
    const answer = heartbeat.ask || isSuspectedHere ? this.answerTo(from, now) : []
    return [...this.noticeChanges(now, from, all.map(news => vmOf(news.holder))), ...this.askRows(now), ...answer]
  }

  private hearNews (news: MemberNews, now: Instant): void {
    const vm = vmOf(news.holder)
    if (vm === this.self.vm) return
    const record = this.records.get(vm)
    if (record?.holder === news.holder) record.hear(news, now)
    else this.questions.need(vm)
  }

  private askRows (now: Instant): readonly MemberAction[] {
    const vms = this.questions.due(now)
    return vms.length === 0 ? [] : [{ kind: 'readRows', vms }]
  }

  private readRows (rows: readonly ReadMember[], whole: boolean, askedAt: Instant, now: Instant): readonly MemberAction[] {
    for (const read of rows) this.readRow(read, askedAt)
    if (whole) this.records.dropMissing(new Set(rows.map(read => read.row.vm)))
    this.records.updateWatch(now)
    return [...this.noticeChanges(now, 'table'), ...(whole ? this.dropOutdated(now) : [])]
  }

  private readRow (read: ReadMember, askedAt: Instant): void {
    const { vm, holder } = read.row
    if (vm === this.self.vm) {
      if (holder !== this.self.holder && this.ownRow.registered) this.ownRow.unsure()
      return
    }
    this.questions.answered(vm)
    this.records.readRow(read, askedAt)
  }

  /** Deletes rows that are past their retention; only one VM of the fleet does so. */
  private dropOutdated (now: Instant): readonly MemberAction[] {
    const [chosen] = roleCandidates(MEMBER_ROLES.placement, [this.self.vm, ...this.records.live(now)], 1)
    if (chosen !== this.self.vm) return []
    return this.records.outdated(now).map(({ vm, version }) => ({ kind: 'dropRow', vm, version }))
  }

  private readList (vms: readonly ListedVm[], at: Instant, now: Instant): readonly MemberAction[] {
    for (const { vm, state } of vms) this.records.get(vm)?.readList(state, at)
    return this.noticeChanges(now, 'list')
  }

  private answerUnreadable (): readonly MemberAction[] {
    this.ownRow.unreadable()
    return []
  }

  private answerWritten (outcome: Parameters<OwnRow['wrote']>[0], now: Instant): readonly MemberAction[] {
    this.ownRow.wrote(outcome)
    return this.ownRow.due(this.self, now)
  }

  private leave (now: Instant): readonly MemberAction[] {
    this.self = { ...this.self, state: 'leaving' }
    this.ownRow.makeDue()
    this.beat += 1
    const told = this.records.participants(now).filter(record => record.domain === this.self.domain || this.records.size < this.limits.meshMembers)
    return [...this.beatTo(told, [], false, now), ...this.ownRow.due(this.self, now)]
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
    return planned.flatMap(({ to, about, ask }) => this.beatTo(to, about, ask, now))
  }

  private answerTo (from: HolderId, now: Instant): readonly MemberAction[] {
    const record = this.records.get(vmOf(from))
    return record === undefined ? [] : this.beatTo([record], [], false, now)
  }

  private beatTo (to: readonly MemberRecord[], about: readonly string[], ask: boolean, now: Instant): readonly MemberAction[] {
    if (to.length === 0) return []
    const news = [...new Set(about)].flatMap(vm => {
      const record = this.records.get(vm)
      return record?.news(this.records.stateOf(record, now), now) ?? []
    })
    return [{ kind: 'beat', to: to.map(record => record.peers), heartbeat: { self: this.ownNews(), news, ask } }]
  }

  private ownNews (): MemberNews {
    const { holder, state, configVersion } = this.self
    return { holder, beat: this.beat, state, config: configVersion, open: this.openRequests, age: 0 }
  }

  private reads (now: Instant): readonly MemberAction[] {
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
    return [...actions, ...this.askRows(now)]
  }

  /** Scans are frequent after the start, when many VMs may start together. */
  private scanPeriodMs (size: number, now: Instant): number {
    const steadyMs = Math.max(this.limits.scanMs, size * this.limits.scanMsPerMember)
    const sinceStartMs = this.startedAt === undefined ? 0 : elapsedMs(this.startedAt, now)
    return Math.min(steadyMs, Math.max(this.limits.periodMs, sinceStartMs))
  }

  private noticeChanges (now: Instant, evidence: string, vms?: Iterable<string>): readonly MemberAction[] {
    return this.records.changes(now, vms).map(({ vm, state }) => {
      this.rumors.add(vm)
      return { kind: 'changed', vm, state, evidence }
    })
  }
}

function isDue (lastAt: Instant | undefined, now: Instant, periodMs: number): boolean {
  return lastAt === undefined || elapsedMs(lastAt, now) >= periodMs
}
