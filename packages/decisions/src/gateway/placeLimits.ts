/**
 * Limits what one VM has open at targets that terminate when they have to refuse too many requests for want of room. The places of each
 * target are divided among the VMs by rendezvous hashing, so that together they fill it without a refusal and without communication. A VM with
 * more requests takes further places one by one; a refusal, also one that another VM reports, takes them back.
 */
import { roleCandidates } from '../membership/memberRing.js'

/** Time for which a report counts; every answer repeats it. */
const REPORT_TTL_MS = 5_000
/** Share of the open requests that a VM keeps after a refusal. */
const DECREASE_FACTOR = 0.75
/** Mean time in which one of all VMs takes a further place of a target. */
const GROWTH_MS = 250
/** Shares of the refusals that a target bears which all VMs together may cause with places of their own and with further ones; they come at random. */
const OWN_REFUSED_RATIO = 0.5
const FURTHER_REFUSED_RATIO = 0.25
/** Minimum time after a refusal before a VM takes places again. */
const MIN_HOLD_MS = 2_000
/** Time in which VMs that learn of a refusal leave the places of the others. */
const SETTLE_MS = 500
/** Time for which a request that found no room counts as demand. */
const DEMAND_TTL_MS = 500
/** Time without demand after which further places are given back. */
const SURPLUS_TTL_MS = 3_000
/** Time for which a VM's own places are cached; VMs come and go within seconds. */
const SHARE_TTL_MS = 500
const MS_PER_S = 1_000

/** The VMs that share the places. */
export interface PlaceSharing {
  /** Name of this VM. */
  readonly vm: string
  /** Names of all VMs, including this one; empty while they are unknown. */
  vms (): readonly string[]
  /** Uniform in [0, 1). */
  random (): number
}

/** A target whose places are limited. */
export interface LimitedTarget {
  readonly id: string
  readonly service: string
  /** Requests that it handles concurrently. */
  readonly slots: number
}

interface BrittleService {
  readonly reportedAt: number
  /** Refusals within a second beyond which a target terminates. */
  readonly refusalLimit: number
}

interface PlaceLimit {
  readonly service: string
  limit: number
  /** Places that belong to this VM. */
  own: number
  ownAt: number
  vms: number
  checkedAt: number
  /** When places of its own are taken again after a refusal. */
  restoreAt: number
  /** When further places are taken again after a refusal. */
  growAt: number
  wantedAt: number
}

/** Limits of one VM. Times are monotonic milliseconds. */
export class PlaceLimits {
  private readonly services = new Map<string, BrittleService>()
  private readonly limits = new Map<string, PlaceLimit>()

  /**
   * Records that a target reported the limit.
   * @param refusalLimit - refusals within a second beyond which it terminates
   * @returns whether the service was not limited before
   */
  report (service: string, refusalLimit: number, mono: number): boolean {
    const isNew = !this.isLimited(service, mono)
    if (isNew) this.forgetService(service)
    this.services.set(service, { reportedAt: mono, refusalLimit })
    return isNew
  }

  isLimited (service: string, mono: number): boolean {
    return mono - (this.services.get(service)?.reportedAt ?? -Infinity) <= REPORT_TTL_MS
  }

  /** Whether this VM may have one more request open at a target. */
  hasRoom (target: LimitedTarget, open: number, sharing: PlaceSharing, mono: number): boolean {
    if (!this.isLimited(target.service, mono)) return true
    const limit = this.update(target, open, sharing, mono)
    if (open < limit.limit) return true
    limit.wantedAt = mono
    return false
  }

  /** Requests that this VM may have open at a target. */
  limit ({ id, slots }: LimitedTarget): number {
    return this.limits.get(id)?.limit ?? slots
  }

  /**
   * Handles a refusal of this VM's request for want of room.
   * @param open - requests that the target has accepted from this VM
   */
  refused (id: string, service: string, open: number, mono: number): void {
    const state = this.limits.get(id)
    if (state === undefined) return
    const hadFurther = state.limit > state.own
    state.limit = Math.min(state.limit, open, Math.max(hadFurther ? state.own : 0, Math.floor(open * DECREASE_FACTOR)))
    state.restoreAt = mono + (hadFurther ? SETTLE_MS : this.holdMs(service, state.vms, OWN_REFUSED_RATIO))
    state.growAt = mono + this.holdMs(service, state.vms, FURTHER_REFUSED_RATIO)
  }

  /** Handles a refusal of another VM's request; own places stay. */
  refusedElsewhere (id: string, service: string, mono: number): void {
    const state = this.limits.get(id)
    if (state === undefined) return
    state.limit = Math.min(state.limit, Math.max(state.own, Math.floor(state.limit * DECREASE_FACTOR)))
    state.growAt = mono + this.holdMs(service, state.vms, FURTHER_REFUSED_RATIO)
  }

  /** Drops the limits of targets that are no longer listed. */
  forgetUnlisted (isListed: (id: string) => boolean): void {
    for (const id of this.limits.keys()) if (!isListed(id)) this.limits.delete(id)
  }

  private forgetService (service: string): void {
    for (const [id, limit] of this.limits) if (limit.service === service) this.limits.delete(id)
  }

  /** Time in which all VMs may be refused once without more than a share of the refusals that a target bears. */
  private holdMs (service: string, vms: number, ratio: number): number {
    const refusalsPerS = Math.max(1, this.services.get(service)?.refusalLimit ?? 1) * ratio
    return Math.max(MIN_HOLD_MS, MS_PER_S * vms / refusalsPerS)
  }

  private update (target: LimitedTarget, open: number, sharing: PlaceSharing, mono: number): PlaceLimit {
    const state = this.limits.get(target.id) ?? this.create(target, sharing, mono)
    if (mono - state.ownAt > SHARE_TTL_MS) this.updateOwn(state, target, sharing, mono)
    const isSurplus = mono - state.wantedAt > SURPLUS_TTL_MS
    if (isSurplus) state.limit = Math.min(state.limit, Math.max(state.own, open))
    this.grow(state, target.slots, sharing, mono)
    state.checkedAt = mono
    return state
  }

  /** Takes one more place while requests find none: places of its own soon, further ones in competition with the other VMs. */
  private grow (state: PlaceLimit, slots: number, { random }: PlaceSharing, mono: number): void {
    const isWanted = mono - state.wantedAt <= DEMAND_TTL_MS
    const isOwn = state.limit < state.own
    if (!isWanted || state.limit >= slots || mono < (isOwn ? state.restoreAt : state.growAt)) return
    const chance = (mono - state.checkedAt) / GROWTH_MS / (isOwn ? 1 : state.vms)
    if (random() < chance) state.limit += 1
  }

  private create (target: LimitedTarget, sharing: PlaceSharing, mono: number): PlaceLimit {
    const state: PlaceLimit = { service: target.service, limit: 0, own: 0, ownAt: mono, vms: 1, checkedAt: mono, restoreAt: -Infinity, growAt: -Infinity, wantedAt: -Infinity }
    this.limits.set(target.id, state)
    this.updateOwn(state, target, sharing, mono)
    state.limit = state.own
    return state
  }

  private updateOwn (state: PlaceLimit, { id, slots }: LimitedTarget, { vm, vms }: PlaceSharing, mono: number): void {
    const names = vms()
    state.ownAt = mono
    state.vms = Math.max(1, names.length)
    const rest = slots % state.vms
    const hasRest = names.length === 0 || (rest > 0 && roleCandidates(id, names, rest).includes(vm))
    state.own = names.length === 0 ? 1 : Math.floor(slots / state.vms) + (hasRest ? 1 : 0)
  }
}
