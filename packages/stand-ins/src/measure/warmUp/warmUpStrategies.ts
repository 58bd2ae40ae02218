/**
 * Strategies that bound what all VMs together send to a warming target: the product's, and the alternatives it is compared with.
 */
import { WarmUpShare, type WarmUpRate } from '@rosemaryspread/decisions/gateway/warmUpShare.js'

/** Bounds what one VM sends to one target. */
export interface WarmUpStrategy {
  maySend (mono: number): boolean
  /** Records a sent request. */
  sent (mono: number): void
}

/** One pair of VM and target. */
export interface WarmUpContext {
  readonly vm: string
  readonly target: string
  /** VMs that this one knows, including itself. */
  readonly vms: readonly string[]
  readonly perS: number
  /** Monotonic milliseconds at which the VM learns of the target, and at which the target is warm. */
  readonly discoveredAt: number
  readonly warmAt: number
  readonly random: () => number
}

const MS_PER_S = 1_000
/** Share of the rate that the equal shares use: with random start times some seconds exceed the mean. */
const EQUAL_SHARE_UTILIZATION = 0.7

class Unbounded implements WarmUpStrategy {
  maySend (): boolean { return true }

  sent (): void {}
}

/** An equal share of the rate for each VM; the first request is sent at a random time. */
class EqualShare implements WarmUpStrategy {
  private readonly intervalMs: number
  private nextAt: number

  constructor ({ perS, vms, discoveredAt, random }: WarmUpContext) {
    this.intervalMs = vms.length * MS_PER_S / (perS * EQUAL_SHARE_UTILIZATION)
    this.nextAt = discoveredAt + random() * this.intervalMs
  }

  maySend (mono: number): boolean { return mono >= this.nextAt }

  sent (mono: number): void { this.nextAt = mono + this.intervalMs }
}

/** The product's strategy: a few designated VMs per target. */
class DesignatedVms implements WarmUpStrategy {
  private readonly part: WarmUpShare
  private readonly rate: WarmUpRate

  constructor ({ vm, target, vms, perS, warmAt }: WarmUpContext) {
    this.rate = { perS, vm, vms: () => vms }
    this.part = new WarmUpShare(target, warmAt)
  }

  maySend (mono: number): boolean { return this.part.waitMs(this.rate, mono) === 0 }

  sent (mono: number): void { this.part.sent(mono) }
}

/** Sends nothing until the target is warm. */
class NoWarmUpTraffic implements WarmUpStrategy {
  constructor (private readonly place: WarmUpContext) {}

  maySend (mono: number): boolean { return mono >= this.place.warmAt }

  sent (): void {}
}

/** Sends each request with a probability that grows from 0 to 1 over the warm-up. */
class Ramp implements WarmUpStrategy {
  constructor (private readonly place: WarmUpContext) {}

  maySend (mono: number): boolean {
    const { discoveredAt, warmAt, random } = this.place
    return random() < (mono - discoveredAt) / Math.max(1, warmAt - discoveredAt)
  }

  sent (): void {}
}

export const warmUpStrategies = {
  unbounded: () => new Unbounded(),
  equalPart: context => new EqualShare(context),
  namedVms: context => new DesignatedVms(context),
  leftOut: context => new NoWarmUpTraffic(context),
  ramp: context => new Ramp(context)
} as const satisfies Record<string, (context: WarmUpContext) => WarmUpStrategy>

export type WarmUpStrategyName = keyof typeof warmUpStrategies
