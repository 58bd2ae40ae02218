/**
 * Strategies that bound what all VMs together send to a warming target: the product's, and the alternatives it is compared with.
 */
import { WarmUpShare, type WarmUpRate } from '@rosemaryspread/decisions/gateway/warmUpShare.js'

/** Bounds what one VM sends to one target. */
export interface WarmUpWay {
  maySend (mono: number): boolean
  /** Records a sent request. */
  sent (mono: number): void
}

/** One pair of VM and target. */
export interface WarmUpPlace {
  readonly vm: string
  readonly target: string
  /** VMs that this one knows, including itself. */
  readonly vms: readonly string[]
  readonly perS: number
  /** Monotonic milliseconds at which the VM learns of the target, and at which the target is warm. */
  readonly knownAt: number
  readonly warmAt: number
  readonly random: () => number
}

const MS_PER_S = 1_000
/** Share of the rate that the equal shares use: with random start times some seconds exceed the mean. */
const EQUAL_PART = 0.7

class Unbounded implements WarmUpWay {
  maySend (): boolean { return true }

  sent (): void {}
}

/** An equal share of the rate for each VM; the first request is sent at a random time. */
class EqualPart implements WarmUpWay {
  private readonly intervalMs: number
  private nextAt: number

  constructor ({ perS, vms, knownAt, random }: WarmUpPlace) {
    this.intervalMs = vms.length * MS_PER_S / (perS * EQUAL_PART)
    this.nextAt = knownAt + random() * this.intervalMs
  }

  maySend (mono: number): boolean { return mono >= this.nextAt }

  sent (mono: number): void { this.nextAt = mono + this.intervalMs }
}

/** The product's strategy: a few designated VMs per target. */
class NamedVms implements WarmUpWay {
  private readonly part: WarmUpShare
  private readonly rate: WarmUpRate

  constructor ({ vm, target, vms, perS, warmAt }: WarmUpPlace) {
    this.rate = { perS, vm, vms: () => vms }
    this.part = new WarmUpShare(target, warmAt)
  }

  maySend (mono: number): boolean { return this.part.waitMs(this.rate, mono) === 0 }

  sent (mono: number): void { this.part.sent(mono) }
}

/** Sends nothing until the target is warm. */
class LeftOut implements WarmUpWay {
  constructor (private readonly place: WarmUpPlace) {}

  maySend (mono: number): boolean { return mono >= this.place.warmAt }

  sent (): void {}
}

/** Sends each request with a probability that grows from 0 to 1 over the warm-up. */
class Ramp implements WarmUpWay {
  constructor (private readonly place: WarmUpPlace) {}

  maySend (mono: number): boolean {
    const { knownAt, warmAt, random } = this.place
    return random() < (mono - knownAt) / Math.max(1, warmAt - knownAt)
  }

  sent (): void {}
}

export const warmUpWays = {
  unbounded: () => new Unbounded(),
  equalPart: place => new EqualPart(place),
  namedVms: place => new NamedVms(place),
  leftOut: place => new LeftOut(place),
  ramp: place => new Ramp(place)
} as const satisfies Record<string, (place: WarmUpPlace) => WarmUpWay>

export type WarmUpWayName = keyof typeof warmUpWays
