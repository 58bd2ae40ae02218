/**
 * Stops forwarding requests that terminate the targets that run them. The count belongs to the request and not to a call, so it
 * survives calls, callers that move to another VM, and VMs. Updates are idempotent and commutative: every VM that applies the same
 * ones, in any order and more than once, reaches the same standing.
 */
import {
  type Clearance, type EndReport, type QuarantineNews, type Standing, type SuspectView, type Verdict
} from './quarantineTypes.js'
import { SuspectRequest } from './suspectRequest.js'

/** Time after the last end for which a request stays suspected; callers retry within seconds or minutes. */
export const SUSPECT_MS = 600_000
/** At some 660 bytes each this is 13 MB; 100 targets that terminate at once with 64 calls each leave 6,400 suspects. */
const MOST_SUSPECTS = 20_000
/** Time between two expiry passes over all suspects. */
const EXPIRE_EVERY_MS = 1_000

/** Requests during which targets terminated, as known to one VM. Times are monotonic milliseconds. */
export class RequestQuarantine {
  private readonly suspects = new Map<string, SuspectRequest>()
  private expiredAt = 0

  /** False while any request is stored, also one whose ends were all cleared. */
  get isEmpty (): boolean {
    return this.suspects.size === 0
  }

  standing (digest: string, mono: number): Standing {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return 'clear'
    if (suspect.isQuarantined(mono)) return 'quarantined'
    return suspect.isSuspected ? 'suspected' : 'clear'
  }

  /** Failure domains of the targets whose termination counts against a request. */
  domainsOf (digest: string): readonly string[] {
    return this.suspects.get(digest)?.counted.map(({ domain }) => domain) ?? []
  }

  /** Applies an update from this VM or another; returns verdicts on the requests that it quarantines. */
  take (news: QuarantineNews, mono: number): readonly Verdict[] {
    switch (news.kind) {
      case 'ended': return this.takeEnds(news, mono)
      case 'quarantined': return this.judge(news.digest, news, mono)
      case 'cleared': return this.takeClearance(news, mono)
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
    if (mono - this.expiredAt < EXPIRE_EVERY_MS) return
    this.expiredAt = mono
    for (const [digest, suspect] of this.suspects) {
      if (suspect.isQuarantined(mono)) continue
      if (suspect.isOver(mono)) {
        suspect.release()
        suspect.touchedAt = mono
      } else if (mono - suspect.touchedAt > SUSPECT_MS) this.suspects.delete(digest)
    }
  }

  /** All requests under suspicion, for operators. */
  list (mono: number): readonly SuspectView[] {
    return [...this.suspects]
      .filter(([, suspect]) => suspect.isSuspected)
      .map(([digest, suspect]) => {
        const leftMs = suspect.leftMs(mono)
        return { digest, standing: this.standing(digest, mono), ends: suspect.counted, level: suspect.level, ...(leftMs > 0 ? { leftMs } : {}) }
      })
  }

  private takeEnds ({ ends, digests }: EndReport, mono: number): readonly Verdict[] {
    return digests.flatMap(digest => this.judge(digest, { ends, level: 1 }, mono))
  }

  private takeClearance ({ digest, processes }: Clearance, mono: number): readonly Verdict[] {
    this.suspectOf(digest, mono).clear(processes)
    return []
  }

  private judge (digest: string, { ends, level }: Pick<Verdict, 'ends' | 'level'>, mono: number): readonly Verdict[] {
    const suspect = this.suspectOf(digest, mono)
    suspect.add(ends)
    if (!suspect.judge(mono, level)) return []
    return [{ kind: 'quarantined', digest, ends: [...suspect.counted], level: suspect.level }]
  }

  private clearanceOf (digest: string, suspect: SuspectRequest, mono: number): Clearance {
    const processes = [...suspect.processes]
    suspect.clear(processes)
    suspect.touchedAt = mono
    return { kind: 'cleared', digest, processes }
  }

  private suspectOf (digest: string, mono: number): SuspectRequest {
    const suspect = this.suspects.get(digest) ?? new SuspectRequest()
    // Keeps the map in order of the last update, so that the first entry is the oldest.
    this.suspects.delete(digest)
    this.suspects.set(digest, suspect)
    suspect.touchedAt = mono
    if (this.suspects.size > MOST_SUSPECTS) this.forgetOldest(mono)
    return suspect
  }

  private forgetOldest (mono: number): void {
    for (const [digest, suspect] of this.suspects) {
      if (suspect.isQuarantined(mono)) continue
      this.suspects.delete(digest)
      return
    }
  }
}
