/**
 * Stops forwarding requests that terminate the targets that run them. The count belongs to the request and not to a call, so it
 * outlives calls and VMs and follows callers that move to another VM. Updates are idempotent and commutative: every VM that applies
 * the same ones, in any order and more than once, reaches the same standing.
 */
import {
  type Clearance, type EndReport, type QuarantineUpdate, type RequestStanding, type SuspectView, type TargetEnd, type Verdict
} from './quarantineTypes.js'
import { SuspectRequest } from './suspectRequest.js'

/** Time after the last end for which a request stays suspected; callers retry within seconds or minutes. */
export const SUSPICION_MS = 600_000
/** At some 660 bytes each this is 13 MB; 100 targets that terminate at once with 64 calls each leave 6,400 suspects. */
const MAX_SUSPECTS = 20_000
/** Time between two expiry passes over all suspects. */
const EXPIRY_INTERVAL_MS = 1_000

/** Requests during which targets terminated, as one VM sees them. Times are monotonic milliseconds. */
export class RequestQuarantine {
  private readonly suspects = new Map<string, SuspectRequest>()
  private lastExpiryAt = 0
  /** Process keys of ends that have another cause. */
  private explained: ReadonlySet<string> = new Set()

  /** @param quarantinesOnEnds - whether enough ends quarantine; otherwise only a verdict does */
  constructor (private readonly quarantinesOnEnds = true) {}

  /** False while any request is stored, also one whose ends were all cleared. */
  get isEmpty (): boolean {
    return this.suspects.size === 0
  }

  standing (digest: string, mono: number): RequestStanding {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return 'clear'
    if (suspect.isQuarantined(mono) && suspect.hasReachedThreshold(this.explained)) return 'quarantined'
    return suspect.isSuspected ? 'suspected' : 'clear'
  }

  /** Whether a request is stored. */
  has (digest: string): boolean {
    return this.suspects.has(digest)
  }

  /** Sets the ends that have another cause and therefore don't count. */
  explain (processes: ReadonlySet<string>): void {
    this.explained = processes
  }

  /** Quarantines a request under suspicion; returns the verdict to publish unless it is not due. */
  quarantine (digest: string, mono: number): readonly Verdict[] {
    return this.suspects.has(digest) ? this.applyToRequest(digest, { ends: [], level: 1 }, mono, true) : []
  }

  /** Failure domains of the targets whose termination counts against a request. */
  domainsOf (digest: string): readonly string[] {
    return this.endsOf(digest).map(({ domain }) => domain)
  }

  /** Terminations that count against a request, earliest first. */
  endsOf (digest: string): readonly TargetEnd[] {
    return this.suspects.get(digest)?.countedEnds ?? []
  }

  /** Applies an update from this VM or another; returns verdicts on the requests that it quarantines. */
  apply (update: QuarantineUpdate, mono: number): readonly Verdict[] {
    switch (update.kind) {
      case 'ended': return this.applyEnds(update, mono)
      case 'quarantined': return this.applyToRequest(update.digest, update, mono, true)
      case 'cleared': return this.applyClearance(update, mono)
    }
  }

  /**
   * Clears a request that a target answered, which proves that it does not terminate targets. Returns the clearance to
   * publish; undefined when so few ends were reported that other VMs need not know.
   */
  answered (digest: string, mono: number): Clearance | undefined {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined || !suspect.isSuspected) return undefined
    const clearance = this.clearanceOf(digest, suspect, mono)
    return clearance.processes.length > 1 ? clearance : undefined
  }

  /** Clears a request on behalf of an operator; undefined when it is not under suspicion. */
  lift (digest: string, mono: number): Clearance | undefined {
    const suspect = this.suspects.get(digest)
    return suspect === undefined ? undefined : this.clearanceOf(digest, suspect, mono)
  }

  /** Releases expired quarantines and removes expired suspects; to be called several times a second. */
  tick (mono: number): void {
    if (mono - this.lastExpiryAt < EXPIRY_INTERVAL_MS) return
    this.lastExpiryAt = mono
    for (const [digest, suspect] of this.suspects) {
      if (suspect.isQuarantined(mono)) continue
      if (suspect.hasExpired(mono)) {
        suspect.release()
        suspect.lastUpdatedAt = mono
      } else if (mono - suspect.lastUpdatedAt > SUSPICION_MS) this.suspects.delete(digest)
    }
  }

  /** All requests under suspicion, for operators. */
  list (mono: number): readonly SuspectView[] {
    return [...this.suspects]
      .filter(([, suspect]) => suspect.isSuspected)
      .map(([digest, suspect]) => {
        const leftMs = suspect.leftMs(mono)
        return { digest, standing: this.standing(digest, mono), ends: suspect.countedEnds, level: suspect.level, ...(leftMs > 0 ? { leftMs } : {}) }
      })
  }

  private applyEnds ({ ends, digests }: EndReport, mono: number): readonly Verdict[] {
    return digests.flatMap(digest => this.applyToRequest(digest, { ends, level: 1 }, mono, this.quarantinesOnEnds))
  }

  private applyClearance ({ digest, processes }: Clearance, mono: number): readonly Verdict[] {
    this.getOrCreateSuspect(digest, mono).clear(processes)
    return []
  }

  private applyToRequest (digest: string, { ends, level }: Pick<Verdict, 'ends' | 'level'>, mono: number, quarantines: boolean): readonly Verdict[] {
    const suspect = this.getOrCreateSuspect(digest, mono)
    suspect.add(ends)
    if (!quarantines || !suspect.hasReachedThreshold(this.explained) || !suspect.quarantineIfDue(mono, level)) return []
    return [{ kind: 'quarantined', digest, ends: [...suspect.countedEnds], level: suspect.level }]
  }

  private clearanceOf (digest: string, suspect: SuspectRequest, mono: number): Clearance {
    const processes = [...suspect.processes]
    suspect.clear(processes)
    suspect.lastUpdatedAt = mono
    return { kind: 'cleared', digest, processes }
  }

  private getOrCreateSuspect (digest: string, mono: number): SuspectRequest {
    const suspect = this.suspects.get(digest) ?? new SuspectRequest()
    // Keeps the map in order of the last update, so that the first entry is the oldest.
    this.suspects.delete(digest)
    this.suspects.set(digest, suspect)
    suspect.lastUpdatedAt = mono
    if (this.suspects.size > MAX_SUSPECTS) this.dropOldestSuspect(mono)
    return suspect
  }

  private dropOldestSuspect (mono: number): void {
    for (const [digest, suspect] of this.suspects) {
      if (suspect.isQuarantined(mono)) continue
      this.suspects.delete(digest)
      return
    }
  }
}
