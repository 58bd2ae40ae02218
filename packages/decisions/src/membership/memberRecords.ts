/**
 * Records of all other VMs, and their states at a given time.
 */
import type { Instant } from '../clock/clockTypes.js'
import { heartbeatSenders, type RingMember } from './memberRing.js'
import { MemberRecord } from './memberRecord.js'
import type { MemberLimits, MemberState, MemberView, StoredMember } from './memberTypes.js'

/** Retention of the rows of terminated VMs, for those that settle their allotments. */
const TERMINATED_RETENTION_MS = 3_600_000
/** Retention of the rows of unresponsive VMs; one that recovers registers again. */
const UNRESPONSIVE_RETENTION_MS = 86_400_000

export class MemberRecords {
  private readonly records = new Map<string, MemberRecord>()
  private readonly lastStates = new Map<string, MemberState>()

  constructor (private readonly self: RingMember, private readonly limits: MemberLimits) {}

  get size (): number {
    return this.records.size
  }

  get (vm: string): MemberRecord | undefined {
    return this.records.get(vm)
  }

  all (): readonly MemberRecord[] {
    return [...this.records.values()]
  }

  /**
   * Adds or updates the record of another VM.
   * @param requestedAt - when the row was requested
   */
  applyRow (read: StoredMember, requestedAt: Instant): void {
    const record = this.records.get(read.row.vm)
    if (record === undefined) this.records.set(read.row.vm, new MemberRecord(read, requestedAt))
    else record.applyRow(read, requestedAt)
  }

  /**
   * Drops the records of VMs that have no row any more.
   * @param present - names of the VMs with a row
   */
  dropMissing (present: ReadonlySet<string>): void {
    for (const vm of this.records.keys()) {
      if (present.has(vm)) continue
      this.records.delete(vm)
      this.lastStates.delete(vm)
    }
  }

  stateOf (record: MemberRecord, now: Instant): MemberState {
    const staleMs = Math.max(this.limits.staleAfterMs, this.records.size * this.limits.staleMsPerMember)
    return record.state(now, this.limits, staleMs)
  }

  states (now: Instant): ReadonlyMap<MemberRecord, MemberState> {
    return new Map(this.all().map(record => [record, this.stateOf(record, now)]))
  }

  /** VMs that take part in heartbeats: all but those terminated or unresponsive for long. */
  participants (now: Instant): readonly MemberRecord[] {
    return this.all().filter(record => record.ageMs(now) < this.limits.forgetAfterMs && this.stateOf(record, now) !== 'gone')
  }

  /** Names of the live VMs. */
  live (now: Instant): readonly string[] {
    return this.all().filter(record => this.stateOf(record, now) === 'live').map(record => record.vm)
  }

  /** VMs whose rows are past their retention. */
  expired (now: Instant): readonly MemberRecord[] {
    return this.all().filter(record => {
      const retentionMs = this.stateOf(record, now) === 'gone' ? TERMINATED_RETENTION_MS : UNRESPONSIVE_RETENTION_MS
      return record.ageMs(now) > retentionMs
    })
  }

  views (now: Instant): readonly MemberView[] {
    return this.all().map(record => record.view(this.stateOf(record, now), now))
  }

  /** Updates whose heartbeats are expected here. */
  updateWatch (now: Instant): void {
    const sources = new Set<RingMember>(heartbeatSenders(this.self, this.participants(now), this.limits))
    for (const record of this.records.values()) record.setWatched(sources.has(record), now)
  }

  /** Restarts the measurement of silence after a pause of this process. */
  resetWatch (now: Instant): void {
    for (const record of this.records.values()) record.resetWatch(now)
  }

  /**
   * VMs whose state changed since the last call, with the new state.
   * @param vms - which to check; all if absent
   */
  changes (now: Instant, vms: Iterable<string> = this.records.keys()): readonly { readonly vm: string, readonly state: MemberState }[] {
    const changed: { vm: string, state: MemberState }[] = []
    for (const vm of vms) {
      const record = this.records.get(vm)
      if (record === undefined) continue
      const state = this.stateOf(record, now)
      if (this.lastStates.get(vm) === state) continue
      this.lastStates.set(vm, state)
      changed.push({ vm, state })
    }
    return changed
  }
}
