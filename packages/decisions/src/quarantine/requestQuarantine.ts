/**
 * Keeps requests that end the targets that run them from being sent on. What is counted belongs to the request and not to one
 * call of it, so it outlives calls, callers that change VMs, and VMs: every VM takes the same news, in any order and more than
 * once, and comes to the same standing.
 */
import {
  type Clearance, type EndReport, type QuarantineNews, type Standing, type SuspectView, type Verdict
} from './quarantineTypes.js'
import { SuspectRequest } from './suspectRequest.js'

/** Milliseconds after the last end for which a request stays suspected: callers come back within seconds or minutes. */
export const SUSPECT_MS = 600_000
/** Requests remembered at most, some 660 bytes each (measured), so 13 MB: 100 targets that end at once with 64 calls each leave 6,400. */
const MOST_SUSPECTS = 20_000
/** Milliseconds between two passes over all that is remembered. */
const EXPIRE_EVERY_MS = 1_000

/** Requests under which targets ended, as one VM knows them. Times are monotonic milliseconds. */
export class RequestQuarantine {
  private readonly suspects = new Map<string, SuspectRequest>()
  private expiredAt = 0

  /** Whether no request is under suspicion. */
  get isEmpty (): boolean {
    return this.suspects.size === 0
  }

  /**
   * How a request stands.
   * @param digest - digest of the request
   * @param mono - present time
   */
  standing (digest: string, mono: number): Standing {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined) return 'clear'
    if (suspect.isQuarantined(mono)) return 'quarantined'
    return suspect.isSuspected ? 'suspected' : 'clear'
  }

  /**
   * Failure domains of the targets that ended under a request.
   * @param digest - digest of the request
   */
  domainsOf (digest: string): readonly string[] {
    return this.suspects.get(digest)?.counted.map(({ domain }) => domain) ?? []
  }

  /**
   * Takes news of this VM or another; answers the requests that are quarantined by it.
   * @param news - the news
   * @param mono - present time
   */
  take (news: QuarantineNews, mono: number): readonly Verdict[] {
    switch (news.kind) {
      case 'ended': return this.takeEnds(news, mono)
      case 'quarantined': return this.judge(news.digest, news, mono)
      case 'cleared': return this.takeClearance(news, mono)
    }
  }

  /**
   * A target answered a request, which proves that it did not end it. Answers what others have to know: nothing as
   * long as too few ends were told of it to matter.
   * @param digest - digest of the request
   * @param mono - present time
   */
  answered (digest: string, mono: number): Clearance | undefined {
    const suspect = this.suspects.get(digest)
    if (suspect === undefined || !suspect.isSuspected) return undefined
    const clearance = this.clearanceOf(digest, suspect, mono)
    return clearance.processes.length > 1 ? clearance : undefined
  }

  /**
   * Lifts the suspicion from a request, at the order of an operator; undefined when there is none.
   * @param digest - digest of the request
   * @param mono - present time
   */
  lift (digest: string, mono: number): Clearance | undefined {
    const suspect = this.suspects.get(digest)
    return suspect === undefined ? undefined : this.clearanceOf(digest, suspect, mono)
  }

  /**
   * Forgets what is over; to be called several times a second.
   * @param mono - present time
   */
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

  /**
   * All requests under suspicion, for operators.
   * @param mono - present time
   */
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
    // The one touched last stands last, so that the first is the one to forget.
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
