/**
 * Limits what one VM sends to a target that warms up after its start: all VMs together may send only so many requests per second,
 * and more would terminate its process. Rendezvous hashing over the current VMs designates a few senders per target. Each of them
 * paces its requests evenly and all others send none, so that the limit holds without communication and for partitioned VMs.
 *
 * Giving each VM an equal share of the rate instead lets short bursts exceed it. Requests that cannot use the target's cache
 * meanwhile lose up to three seconds, which costs less than the loss of a target.
 */
import { roleCandidates } from '../membership/memberRing.js'

/**
 * Share of the rate that is used: VMs that each know only half of the others designate more senders, which together would exceed
 * the full rate.
 */
const USED_SHARE = 0.5
/** Time for which a designation is cached; VMs come and go within seconds. */
const DESIGNATION_TTL_MS = 500
/** Longest accepted warm-up: a hundred times the three seconds that pools of language models take. */
const MAX_WARM_UP_MS = 300_000
const MS_PER_S = 1_000

/** Whether a reported time until a target is warm is plausible. */
export function isPlausibleWarmUp (leftMs: number): boolean {
  return leftMs >= 0 && leftMs <= MAX_WARM_UP_MS
}

/** Rate limit of targets that warm up, and the VMs that share it. */
export interface WarmUpRate {
  /** Requests per second that a target handles from all VMs together. */
  readonly perS: number
  /** Name of this VM. */
  readonly vm: string
  /** Names of all VMs, including this one; empty while they are unknown, and then nothing is sent. */
  vms (): readonly string[]
}

/** Paces the requests of one VM to one target until it is warm. Times are monotonic milliseconds. */
export class WarmUpShare {
  private sentAt = -Infinity
  private intervalMs: number | undefined
  private designatedAt = -Infinity

  /** @param warmAt - when the target is warm */
  constructor (private readonly target: string, private warmAt: number) {}

  /** Updates when the target is warm; requests sent before still count. */
  updateWarmAt (warmAt: number): void {
    this.warmAt = warmAt
  }

  /** Milliseconds until this VM may send a request; 0 if it may now. */
  waitMs (rate: WarmUpRate, mono: number): number {
    if (mono >= this.warmAt) return 0
    const intervalMs = this.cachedInterval(rate, mono)
    if (intervalMs === undefined) return this.warmAt - mono
    return Math.max(0, Math.min(this.warmAt, this.sentAt + intervalMs) - mono)
  }

  /** Records that a request was sent at `mono`. */
  sent (mono: number): void {
    this.sentAt = mono
  }

  /** Milliseconds between two requests of this VM; undefined if it is not designated. */
  private cachedInterval (rate: WarmUpRate, mono: number): number | undefined {
    if (mono - this.designatedAt < DESIGNATION_TTL_MS) return this.intervalMs
    this.designatedAt = mono
    this.intervalMs = this.computeInterval(rate)
    return this.intervalMs
  }

  private computeInterval ({ perS, vm, vms }: WarmUpRate): number | undefined {
    const currentVms = vms()
    const usedPerS = perS * USED_SHARE
    const designated = Math.min(currentVms.length, Math.max(1, Math.floor(usedPerS)))
    return roleCandidates(this.target, currentVms, designated).includes(vm) ? designated * MS_PER_S / usedPerS : undefined
  }
}
