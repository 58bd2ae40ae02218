/**
 * Distinguishes the termination of a target from a broken response. Both break calls alike, but a terminated process no
 * longer listens: the next connection is refused at once, while after a reset, a truncated response or a broken link it
 * is accepted or hangs.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { processKey } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { TargetEndProbe } from '../gateway/callTypes.js'

/** Timeout of the probe connection; on a working network it is accepted or refused within three milliseconds. */
const PROBE_TIMEOUT_MS = 150
/** Milliseconds for which a result is reused for further calls on the same process, so that a burst sends one probe. */
const RESULT_TTL_MS = 200

export interface TargetEndDetectorParts {
  readonly clock: Clock
  readonly probe: TargetEndProbe
}

export interface BrokenProcess {
  readonly isEnded: Promise<boolean>
  /** Monotonic milliseconds of the first broken call. */
  readonly since: number
}

/** Detects which targets have terminated. */
export class TargetEndDetector {
  private readonly results = new Map<string, BrokenProcess>()

  constructor (private readonly parts: TargetEndDetectorParts) {}

  /** Checks a target on which a call broke without an answer. */
  check (target: Pick<TargetView, 'id' | 'service' | 'address' | 'startedAt'>): BrokenProcess {
    const now = this.parts.clock.now().mono
    this.evictExpired(now)
    const name = processKey({ target: target.id, startedAt: target.startedAt })
    const cached = this.results.get(name)
    if (cached !== undefined) return cached
    const fresh = { isEnded: this.parts.probe.isTerminated(target.address, target.service, PROBE_TIMEOUT_MS), since: now }
    this.results.set(name, fresh)
    return fresh
  }

  private evictExpired (now: number): void {
    for (const [name, { since }] of this.results) if (now - since > RESULT_TTL_MS) this.results.delete(name)
  }
}
