/**
 * Bounds what one VM sends to a target that warms up after its start: all VMs together may send only so many requests a second
 * there, and more end its process. A few VMs are named for each such target by rendezvous hashing on the VMs that each knows, and
 * each of them sends evenly; the others send nothing. So VMs that do not speak with each other, or are cut off, keep the bound together.
 *
 * Of 200 played returns of 20 targets that bear 11 a second, the worst second of one target had 488 requests without a bound where 79
 * VMs all took the first, 20 with an equal part of the rate for each VM, and 8 with named VMs; with 360 VMs 2,064, 21 and 8. Of a
 * hundred requests 12, and 6, found their prompt at a target that warmed up: a loss of three seconds against a target's life.
 */
import { roleCandidates } from '../membership/memberRing.js'

/**
 * Part of the rate that is used: VMs that each know only half of the others name more of them, and sent 27 requests in the worst
 * second with the whole rate and 17 with this part, where 21 are allowed.
 */
const USED_PART = 0.5
/** Milliseconds for which a naming is kept: VMs come and go in seconds. */
const NAMED_MS = 500
/** Longest warm-up that is believed, in milliseconds: a hundred times the three seconds that pools of language models take. */
const MOST_WARM_UP_MS = 300_000
const MS_PER_S = 1_000

/**
 * Whether a time until a target is warm can be true.
 * @param leftMs - the time, in milliseconds
 */
export function isWarmUpTime (leftMs: number): boolean {
  return leftMs >= 0 && leftMs <= MOST_WARM_UP_MS
}

/** What targets bear while they warm up, and who shares it. */
export interface WarmUpRate {
  /** Requests a second that a target bears from all VMs together. */
  readonly perS: number
  /** Name of this VM. */
  readonly vm: string
  /** Names of all VMs, this one included; empty while they are not known, and then nothing is sent. */
  vms (): readonly string[]
}

/** What one VM may send to one target until it is warm. Times are monotonic milliseconds. */
export class WarmUpPart {
  private sentAt = -Infinity
  private intervalMs: number | undefined
  private namedAt = -Infinity

  /**
   * @param target - id of the target
   * @param warmAt - when it is warm
   */
  constructor (private readonly target: string, private warmAt: number) {}

  /**
   * Takes what the target says now; what was sent still counts.
   * @param warmAt - when it is warm
   */
  told (warmAt: number): void {
    this.warmAt = warmAt
  }

  /**
   * Milliseconds until a request may be sent there; 0 when it may be now.
   * @param rate - the rate of all VMs
   * @param mono - present time
   */
  waitMs (rate: WarmUpRate, mono: number): number {
    if (mono >= this.warmAt) return 0
    const intervalMs = this.interval(rate, mono)
    if (intervalMs === undefined) return this.warmAt - mono
    return Math.max(0, Math.min(this.warmAt, this.sentAt + intervalMs) - mono)
  }

  /**
   * Counts a request that was sent there.
   * @param mono - present time
   */
  sent (mono: number): void {
    this.sentAt = mono
  }

  /** Milliseconds between two requests of this VM; undefined where it is not named. */
  private interval (rate: WarmUpRate, mono: number): number | undefined {
    if (mono - this.namedAt < NAMED_MS) return this.intervalMs
    this.namedAt = mono
    this.intervalMs = this.intervalOf(rate)
    return this.intervalMs
  }

  private intervalOf ({ perS, vm, vms }: WarmUpRate): number | undefined {
    const known = vms()
    const usedPerS = perS * USED_PART
    const named = Math.min(known.length, Math.max(1, Math.floor(usedPerS)))
    return roleCandidates(this.target, known, named).includes(vm) ? named * MS_PER_S / usedPerS : undefined
  }
}
