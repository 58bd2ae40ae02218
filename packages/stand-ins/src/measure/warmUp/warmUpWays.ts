/**
 * Ways of bounding what all VMs together send to a target that warms up: the product's, and those it was weighed against.
 */
import { WarmUpShare, type WarmUpRate } from '@rosemaryspread/decisions/gateway/warmUpShare.js'

/** What one VM may send to one target. */
export interface WarmUpWay {
  /** Whether a request may be sent now. */
  maySend (mono: number): boolean
  /** A request was sent. */
  sent (mono: number): void
}

/** One VM before one target, as its way sees them. */
export interface WarmUpPlace {
  readonly vm: string
  readonly target: string
  /** The VMs that this one knows, itself included. */
  readonly vms: readonly string[]
  readonly perS: number
  /** When the VM learned of the target, and when the target is warm, in milliseconds. */
  readonly knownAt: number
  readonly warmAt: number
  readonly random: () => number
}

const MS_PER_S = 1_000
/** Part of the rate that equal parts use: random moments exceed their mean in some seconds. */
const EQUAL_PART = 0.7

/** Nothing is bounded. */
class Unbounded implements WarmUpWay {
  maySend (): boolean { return true }

  sent (): void {}
}

/** An equal part of the rate for each VM, its first request at a random moment. */
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

/** A few VMs named for each target: the product's way. */
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

/** Nothing is sent until the target is warm. */
class LeftOut implements WarmUpWay {
  constructor (private readonly place: WarmUpPlace) {}

  maySend (mono: number): boolean { return mono >= this.place.warmAt }

  sent (): void {}
}

/** Each request is sent with a chance that grows from none to one over the warm-up. */
class Ramp implements WarmUpWay {
  constructor (private readonly place: WarmUpPlace) {}

  maySend (mono: number): boolean {
    const { knownAt, warmAt, random } = this.place
    return random() < (mono - knownAt) / Math.max(1, warmAt - knownAt)
  }

  sent (): void {}
}

/** The ways by name. */
export const warmUpWays = {
  unbounded: () => new Unbounded(),
  equalPart: place => new EqualPart(place),
  namedVms: place => new NamedVms(place),
  leftOut: place => new LeftOut(place),
  ramp: place => new Ramp(place)
} as const satisfies Record<string, (place: WarmUpPlace) => WarmUpWay>

/** Name of a way. */
export type WarmUpWayName = keyof typeof warmUpWays
