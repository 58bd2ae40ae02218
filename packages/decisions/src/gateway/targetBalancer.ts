/**
 * Chooses the target of a request. Requests with the same shared prompt parts go to the same target, ranked by rendezvous hashing
 * of the parts at every VM, so that its cache is used. A lower-ranked target is chosen if its first token comes so much sooner
 * that it makes up for prefilling the shared parts again. Requests without shared parts go where this VM has the fewest open
 * requests.
 */
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '../codes/failure.js'
import { hashName, pairWeight } from '../routing/rendezvous.js'
import { TargetHealth } from '../routing/targetHealth.js'
import { PlaceLimits, type PlaceSharing } from './placeLimits.js'
import { TargetLoad } from './targetLoad.js'
import { versionOf, type TargetView } from './targetSet.js'
import { WarmUpShare, type WarmUpRate } from './warmUpShare.js'

/**
 * Highest-ranked targets compared for a request with shared parts. Comparing a whole pool spreads the shared parts over more
 * targets, so more of them are prefilled again.
 */
const AFFINITY_CANDIDATES = 3
/**
 * Weight of prefilling shared parts again: it delays the request itself, delays others, and uses cache memory of the target. With
 * 2, more shared tokens are prefilled again and more streams are late.
 */
const PREFILL_AGAIN_FACTOR = 4
/** Peers are notified of requests from this size on, which delay others by some ten milliseconds. */
const MIN_NOTIFIED_TOKENS = 2_000
/** Retry delay when this VM has no place left at any target. */
const FULL_RETRY_MS = 250
/** Retry delay when no target is listed, or every one was tried. */
const NO_TARGET_RETRY_MS = 300

/** Properties of a request that its target depends on. */
export interface TargetDemand {
  /** Ids of the prompt parts shared with other requests; empty without affinity. */
  readonly sharedParts: readonly string[]
  readonly sharedTokens: number
  /** Prompt tokens outside the shared parts. */
  readonly unsharedTokens: number
  /** Ids of the targets tried already. */
  readonly exclude: ReadonlySet<string>
  /** Software version that has to serve the request, see {@link versionOf}; absent if any may. */
  readonly version?: string
  /** Set for a request during which targets terminated. */
  readonly suspicion?: Suspicion
  /** Rate limit of targets that warm up; absent if unbounded. */
  readonly warmUp?: WarmUpRate
  /** The VMs that share the places of targets that limit refusals; absent if places are not limited. */
  readonly sharing?: PlaceSharing
}

/** Marks a request that may have terminated targets; all VMs send it to the same target. */
export interface Suspicion {
  /** Digest of the request, hashed to rank the targets. */
  readonly digest: string
  /** Failure domains in which targets terminated during the request; others are preferred in case a whole domain is failing. */
  readonly domains: readonly string[]
}

/** The chosen target, and the reason for the log. */
export interface TargetChoice {
  readonly target: Pick<TargetView, 'id' | 'service' | 'address' | 'domain' | 'version' | 'startedAt'>
  /** Number of candidates, or their names. */
  readonly candidates: number | readonly string[]
  readonly reason: string
  /** Prompt tokens that the target is estimated to prefill for the request. */
  readonly work: number
  /** Number of targets left out because of a pause; absent if targets cannot pause. */
  readonly paused?: number
}

/** Notifies peers of a request sent to a target. */
export const workNotificationSchema = z.object({
  target: z.string(),
  /** Prompt tokens that the target has to prefill. */
  work: z.number().nonnegative(),
  /** Key of the shared parts that the target caches then. */
  parts: z.string()
})
export type WorkNotification = z.infer<typeof workNotificationSchema>

export interface SentRequest {
  /** Identifies the request in `endPrefill`. */
  readonly ticket: number
  /** Notification for the peers; absent without shared parts, and for small requests at the target that all VMs rank highest. */
  readonly notification?: WorkNotification
}

interface TargetState {
  readonly nameHash: number
  health: TargetHealth
  readonly load: TargetLoad
  /** Absent for a target that reported no warm-up. */
  warmUpShare?: WarmUpShare
  /** Whether its listed process has terminated; the next one may run another version. */
  isTerminated: boolean
  open: number
}

/** Balances the requests of one VM. Times are monotonic milliseconds. */
export class TargetBalancer {
  private readonly states = new Map<string, TargetState>()
  private readonly places = new PlaceLimits()

  /**
   * Chooses a target.
   * @param targets - targets of the service that accept new requests
   * @param random - a number in [0, 1), breaks ties
   */
  choose (targets: readonly TargetView[], demand: TargetDemand, mono: number, random: number): Either<Failure, TargetChoice> {
    const eligible = this.withVersion(targets, demand)
    if (eligible.length === 0 && targets.length > 0) {
      return Left(new Failure('versionUnavailable', `no target runs software version '${demand.version}', which began the stream`, { ran: 'no', retryAfterMs: NO_TARGET_RETRY_MS }))
    }
    const untried = eligible.filter(({ id }) => !demand.exclude.has(id))
    if (untried.length === 0) {
      return Left(new Failure('noRunner', 'no target of the service is left that accepts new requests', { ran: 'no', retryAfterMs: NO_TARGET_RETRY_MS }))
    }
    const accepting = untried.filter(({ id }) => this.warmUpWaitMs(id, demand, mono) === 0)
    if (accepting.length === 0) return Left(this.warmUpFailure(untried, demand, mono))
    const withRoom = this.withRoom(accepting, demand, mono)
    if (withRoom.length === 0) return Left(new Failure('targetsFull', 'this VM has no place left at the targets of the service', { ran: 'no', retryAfterMs: FULL_RETRY_MS }))
    const candidates = this.withoutEjected(withRoom, mono)
    if (demand.suspicion !== undefined) return Right(this.suspected(candidates, demand.suspicion, demand))
    if (demand.sharedParts.length > 0) return Right(this.chooseByAffinity(candidates, demand, mono))
    const target = this.chooseFewestOpen(candidates, random)
    return Right({ target, candidates: candidates.length, reason: 'fewestOpen', work: demand.unsharedTokens })
  }

  /**
   * Records a request sent to the chosen target.
   * @param sharedParts - ids of its shared parts
   */
  sent ({ target, work, reason }: TargetChoice, sharedParts: readonly string[], mono: number): SentRequest {
    const state = this.stateOf(target.id)
    state.open += 1
    state.warmUpShare?.sent(mono)
    const ticket = state.load.sent(work, mono)
    if (sharedParts.length === 0) return { ticket }
    const parts = partsKey(hashParts(sharedParts))
    state.load.recordCached(parts, mono)
    const needsNotification = work >= MIN_NOTIFIED_TOKENS || reason === 'lessWork'
    return needsNotification ? { ticket, notification: { target: target.id, work, parts } } : { ticket }
  }

  /** Records a request that a peer sent. */
  recordPeerWork ({ target, work, parts }: WorkNotification, mono: number): void {
    const { load } = this.stateOf(target)
    load.recordPeerWork(work, mono)
    load.recordCached(parts, mono)
  }

  /**
   * Updates the warm-up state of a target.
   * @param leftMs - milliseconds until it is warm; 0 or less if it is
   */
  updateWarmUp (id: string, leftMs: number, mono: number): void {
    const current = this.states.get(id)?.warmUpShare
    if (current !== undefined) current.updateWarmAt(mono + leftMs)
    else if (leftMs > 0) this.stateOf(id).warmUpShare = new WarmUpShare(id, mono + leftMs)
  }

  /**
   * Handles the first event of a request, or its end without one.
   * @param ticket - from `sent`
   * @param isAnswered - whether the target began to respond
   */
  endPrefill (id: string, ticket: number, isAnswered: boolean, mono: number): void {
    this.stateOf(id).load.endPrefill(ticket, isAnswered, mono)
  }

  /**
   * Handles the end of a request.
   * @param end - `good` if the target responded, `failed` if it did not, `unreachable` if no connection could be made, `terminated` if
   * its process has terminated, `none` if the end says nothing about the target
   */
  ended (id: string, end: 'good' | 'failed' | 'unreachable' | 'terminated' | 'none', mono: number): void {
    const state = this.stateOf(id)
    state.open = Math.max(0, state.open - 1)
    if (end === 'good') state.health.recordSuccess(mono)
    if (end === 'failed') state.health.recordFailure(mono)
    if (end === 'terminated') state.isTerminated = true
    if ((end === 'unreachable' || end === 'terminated') && !state.health.isEjected(mono)) state.health.eject('unreachable', mono)
  }

  /**
   * Records that targets of a service terminate if they have to refuse too much.
   * @param refusalLimit - refusals within a second that a target bears
   * @returns whether the places of the service were not limited before
   */
  limitPlaces (service: string, refusalLimit: number, mono: number): boolean {
    return this.places.report(service, refusalLimit, mono)
  }

  /**
   * Handles a refusal for want of room, before {@link ended}.
   * @returns whether other VMs should know of it
   */
  refused (id: string, service: string, mono: number): boolean {
    this.places.refused(id, service, Math.max(0, this.open(id) - 1), mono)
    return this.places.isLimited(service, mono)
  }

  /** Handles a refusal of another VM's request for want of room. */
  refusedElsewhere (id: string, service: string, mono: number): void {
    this.places.refusedElsewhere(id, service, mono)
  }

  /** Requests that this VM may have open at some targets in all. */
  placesAt (targets: readonly TargetView[]): number {
    return targets.reduce((sum, target) => sum + this.places.limit(target), 0)
  }

  /** Drops what this VM concluded from failed requests at targets, which were not the cause. */
  forgetFailures (ids: readonly string[]): void {
    for (const id of ids) this.stateOf(id).health = new TargetHealth()
  }

  /** Number of targets that are ejected. */
  ejected (mono: number): number {
    return [...this.states.values()].filter(({ health }) => health.isEjected(mono)).length
  }

  /** Number of this VM's open requests at a target. */
  open (id: string): number {
    return this.states.get(id)?.open ?? 0
  }

  /** Drops the state of targets that are no longer listed and have no open requests. */
  forgetUnlisted (isListed: (id: string) => boolean): void {
    this.places.forgetUnlisted(isListed)
    for (const [id, { open }] of this.states) if (open === 0 && !isListed(id)) this.states.delete(id)
  }

  /** Resets the state of a target, except its open requests: another process now has its id, with an empty cache. */
  resetTarget (id: string): void {
    const previous = this.states.get(id)
    if (previous === undefined) return
    this.states.delete(id)
    this.stateOf(id).open = previous.open
  }

  /** The targets that run the version which a request needs, if it needs one. */
  private withVersion (targets: readonly TargetView[], { version }: TargetDemand): readonly TargetView[] {
    return version === undefined ? targets : targets.filter(target => versionOf(target) === version && this.states.get(target.id)?.isTerminated !== true)
  }

  private warmUpWaitMs (id: string, { warmUp }: TargetDemand, mono: number): number {
    const share = this.states.get(id)?.warmUpShare
    return share === undefined || warmUp === undefined ? 0 : share.waitMs(warmUp, mono)
  }

  private warmUpFailure (targets: readonly TargetView[], demand: TargetDemand, mono: number): Failure {
    const waitMs = Math.min(...targets.map(({ id }) => this.warmUpWaitMs(id, demand, mono)))
    return new Failure('targetsWarmUp', 'the remaining targets are warming up and accept no further request of this VM now', { ran: 'no', retryAfterMs: Math.ceil(waitMs) })
  }

  private withRoom (targets: readonly TargetView[], { sharing }: TargetDemand, mono: number): readonly TargetView[] {
    return sharing === undefined ? targets : targets.filter(target => this.places.hasRoom(target, this.open(target.id), sharing, mono))
  }

  /** Leaves out ejected targets unless all are ejected: a degraded service is better than refusing everything. */
  private withoutEjected (targets: readonly TargetView[], mono: number): readonly TargetView[] {
    const healthy = targets.filter(({ id }) => {
      const { health, open } = this.stateOf(id)
      return health.share(mono, open) > 0
    })
    return healthy.length > 0 ? healthy : targets
  }

  /** The highest-ranked target, unless another responds so much sooner that prefilling the shared parts there pays off. */
  private chooseByAffinity (candidates: readonly TargetView[], demand: TargetDemand, mono: number): TargetChoice {
    const key = hashParts(demand.sharedParts)
    const parts = partsKey(key)
    const ordered = candidates
      .map(target => ({ target, weight: pairWeight(key, this.stateOf(target.id).nameHash) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, AFFINITY_CANDIDATES)
    const costs = ordered.map(({ target }, rank) => {
      const { load } = this.stateOf(target.id)
      const uncachedTokens = rank === 0 || load.hasCached(parts, mono) ? 0 : demand.sharedTokens
      const cost = (load.queuedTokens(mono) + demand.unsharedTokens + PREFILL_AGAIN_FACTOR * uncachedTokens) / load.tokensPerMs
      return { target, rank, cost, work: demand.unsharedTokens + uncachedTokens }
    })
    const { target, rank, work } = costs.reduce((best, next) => next.cost < best.cost ? next : best)
    return { target, work, candidates: candidates.length, reason: rank === 0 ? 'affinity' : 'lessWork' }
  }

  /**
   * The highest-ranked target, whatever its load: VMs that list the same targets agree on it, so that copies of a request that
   * terminates targets terminate one and not several.
   */
  private suspected (candidates: readonly TargetView[], { digest, domains }: Suspicion, { unsharedTokens, sharedTokens }: TargetDemand): TargetChoice {
    const key = hashName(digest)
    const weightOf = ({ id }: TargetView): number => pairWeight(key, this.stateOf(id).nameHash)
    const elsewhere = candidates.filter(({ domain }) => !domains.includes(domain))
    const target = (elsewhere.length > 0 ? elsewhere : candidates).reduce((best, next) => weightOf(next) > weightOf(best) ? next : best)
    return { target, work: unsharedTokens + sharedTokens, candidates: candidates.length, reason: 'suspected' }
  }

  private chooseFewestOpen (candidates: readonly TargetView[], random: number): TargetView {
    const least = Math.min(...candidates.map(({ id }) => this.open(id)))
    const equals = candidates.filter(({ id }) => this.open(id) === least)
    return equals[Math.floor(random * equals.length)] as TargetView
  }

  private stateOf (id: string): TargetState {
    const current = this.states.get(id)
    if (current !== undefined) return current
    const fresh = { nameHash: hashName(id), health: new TargetHealth(), load: new TargetLoad(), isTerminated: false, open: 0 }
    this.states.set(id, fresh)
    return fresh
  }
}

function hashParts (parts: readonly string[]): number {
  return hashName(parts.join(','))
}

/** Compact key of hashed shared parts, the same at all VMs. */
function partsKey (hash: number): string {
  return hash.toString(36)
}
