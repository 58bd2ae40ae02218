/**
 * Chooses the target of a request without talk between VMs. Requests with the same shared prompt
 * parts meet at the target that rendezvous hashing names for these parts, so that it finds them in
 * its cache; another target in that order takes them where it has so much less work that reading
 * the shared parts there costs less. Requests without such parts go where this VM has the fewest requests open.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import { hashName, pairWeight } from '../routing/rendezvous.js'
import { FadingSum } from '../clock/fadingSum.js'
import { TargetHealth } from '../routing/targetHealth.js'
import type { TargetView } from './targetSet.js'

/** Targets, in the order of rendezvous hashing, that are weighed for a request with shared parts. */
const WEIGHED = 3
/** Milliseconds over which prompt tokens sent to a target fade from its work. */
const WORK_FADE_MS = 1_000
/**
 * Times the own work that counts against reading shared parts again. A VM sees only its own part of
 * the requests, so a difference in its own work stands for a larger one.
 */
const WORK_FACTOR = 2
/** Milliseconds for which a target is believed to keep shared parts that this VM sent there. */
const CACHED_MS = 8_000
/** Milliseconds to come back after when no target is listed or every one is ejected. */
const NONE_RETRY_MS = 300

/** What a choice depends on. */
export interface TargetDemand {
  /** Ids of the prompt parts that other requests have as well; empty without affinity. */
  readonly sharedParts: readonly string[]
  readonly sharedTokens: number
  /** Prompt tokens of this request alone. */
  readonly ownTokens: number
  /** Targets tried already. */
  readonly exclude: ReadonlySet<string>
}

/** A target chosen, and the reason for the log. */
export interface TargetChoice {
  readonly target: Pick<TargetView, 'id' | 'address'>
  /** Number of the candidates, or their names. */
  readonly candidates: number | readonly string[]
  readonly reason: string
  /** Prompt tokens that the target is believed to read for it. */
  readonly work: number
}

interface TargetState {
  readonly nameHash: number
  readonly health: TargetHealth
  open: number
  /** Prompt tokens of requests without a first event. */
  pending: number
  readonly recent: FadingSum
  /** Shared parts sent there, and when. */
  readonly cached: Map<string, number>
}

/** Balances the requests of one VM. Times are monotonic milliseconds. */
export class TargetBalancer {
  private readonly states = new Map<string, TargetState>()

  /**
   * Chooses a target.
   * @param targets - targets of the service that take new work
   * @param demand - the request
   * @param mono - present time
   * @param random - a number in [0, 1), decides among equals
   */
  choose (targets: readonly TargetView[], demand: TargetDemand, mono: number, random: number): Either<Failure, TargetChoice> {
    const candidates = this.usable(targets.filter(({ id }) => !demand.exclude.has(id)), mono)
    if (candidates.length === 0) {
      return Left(new Failure('noRunner', 'no target of the service takes new work', { retryAfterMs: NONE_RETRY_MS }))
    }
    if (demand.sharedParts.length > 0) return Right(this.byAffinity(candidates, demand, mono))
    const target = this.fewestOpen(candidates, random)
    return Right({ target, candidates: candidates.length, reason: 'fewestOpen', work: demand.ownTokens })
  }

  /**
   * Counts a request sent to a target.
   * @param choice - the choice that was followed
   * @param sharedParts - ids of its shared parts
   * @param mono - present time
   */
  sent ({ target, work }: TargetChoice, sharedParts: readonly string[], mono: number): void {
    const state = this.stateOf(target.id)
    state.open += 1
    state.pending += work
    if (sharedParts.length > 0) remember(state.cached, sharedParts.join(','), mono)
  }

  /**
   * The target began to answer, or the request ended without it.
   * @param choice - the choice that was followed
   * @param mono - present time
   */
  begun ({ target, work }: TargetChoice, mono: number): void {
    const state = this.stateOf(target.id)
    state.pending = Math.max(0, state.pending - work)
    state.recent.add(work, mono)
  }

  /**
   * Takes the end of a request.
   * @param id - id of the target
   * @param end - `good` when the target answered, `failed` when it did not, `unreachable` when no
   * connection could be made, `none` when the end says nothing of the target
   * @param mono - present time
   */
  ended (id: string, end: 'good' | 'failed' | 'unreachable' | 'none', mono: number): void {
    const state = this.stateOf(id)
    state.open = Math.max(0, state.open - 1)
    if (end === 'good') state.health.succeeded(mono)
    if (end === 'failed') state.health.failed(mono)
    if (end === 'unreachable' && !state.health.isEjected(mono)) state.health.eject('unreachable', mono)
  }

  /**
   * Requests of this VM open at a target.
   * @param id - id of the target
   */
  open (id: string): number {
    return this.states.get(id)?.open ?? 0
  }

  /**
   * Forgets targets that are not listed any more and have nothing open.
   * @param isListed - whether a target is listed
   */
  forget (isListed: (id: string) => boolean): void {
    for (const [id, { open }] of this.states) if (open === 0 && !isListed(id)) this.states.delete(id)
  }

  /** Ejected targets are left out unless all are: serving badly is better than refusing everything. */
  private usable (targets: readonly TargetView[], mono: number): readonly TargetView[] {
    const healthy = targets.filter(({ id }) => {
      const { health, open } = this.stateOf(id)
      return health.share(mono, open) > 0
    })
    return healthy.length > 0 ? healthy : targets
  }

  /** The first target in order, unless another's lead in work is worth reading the shared parts there. */
  private byAffinity (candidates: readonly TargetView[], demand: TargetDemand, mono: number): TargetChoice {
    const parts = demand.sharedParts.join(',')
    const key = hashName(parts)
    const ordered = candidates
      .map(target => ({ target, weight: pairWeight(key, this.stateOf(target.id).nameHash) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, WEIGHED)
    const weighed = ordered.map(({ target }, rank) => {
      const state = this.stateOf(target.id)
      const isCached = rank === 0 || mono - (state.cached.get(parts) ?? -Infinity) < CACHED_MS
      const unread = isCached ? 0 : demand.sharedTokens
      const cost = unread + WORK_FACTOR * (state.pending + state.recent.at(mono))
      return { target, rank, cost, work: demand.ownTokens + unread }
    })
    const { target, rank, work } = weighed.reduce((best, next) => next.cost < best.cost ? next : best)
    return { target, work, candidates: candidates.length, reason: rank === 0 ? 'affinity' : 'lessWork' }
  }

  private fewestOpen (candidates: readonly TargetView[], random: number): TargetView {
    const least = Math.min(...candidates.map(({ id }) => this.open(id)))
    const equals = candidates.filter(({ id }) => this.open(id) === least)
    return equals[Math.floor(random * equals.length)] as TargetView
  }

  private stateOf (id: string): TargetState {
    const known = this.states.get(id)
    if (known !== undefined) return known
    const fresh = { nameHash: hashName(id), health: new TargetHealth(), open: 0, pending: 0, recent: new FadingSum(WORK_FADE_MS), cached: new Map() }
    this.states.set(id, fresh)
    return fresh
  }
}

/** Shared parts remembered for one target. */
const MAX_REMEMBERED = 2_000

/** Keeps the latest entries in order of their last use. */
function remember (cached: Map<string, number>, parts: string, mono: number): void {
  cached.delete(parts)
  cached.set(parts, mono)
  const oldest = cached.keys().next()
  if (cached.size > MAX_REMEMBERED && oldest.done !== true) cached.delete(oldest.value)
}
