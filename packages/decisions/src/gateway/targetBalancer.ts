/**
 * Chooses the target of a request without talk between VMs. Requests with the same shared prompt
 * parts meet at the target that rendezvous hashing names for these parts, so that it finds them in
 * its cache; a target that has clearly more requests than the mean passes them on to the next one.
 * Requests without such parts go where this VM has the fewest requests open.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import { hashName, pairWeight } from '../routing/rendezvous.js'
import { RunnerHealth } from '../routing/runnerHealth.js'
import type { TargetView } from './targetSet.js'

/** Times the mean of open requests that a target may have before the next one in order is taken. */
const BOUND_FACTOR = 1.5
/** Requests beyond that bound; keeps the order also when hardly anything is open. */
const BOUND_SLACK = 1
/** Milliseconds to come back after when no target is listed or every one is ejected. */
const NONE_RETRY_MS = 300

/** What a choice depends on. */
export interface TargetDemand {
  /** Ids of the prompt parts that other requests have as well; empty without affinity. */
  readonly sharedParts: readonly string[]
  /** Targets tried already. */
  readonly exclude: ReadonlySet<string>
}

/** A target chosen, and the reason for the log. */
export interface TargetChoice {
  readonly target: TargetView
  readonly candidates: number
  readonly reason: 'affinity' | 'affinityFull' | 'fewestOpen'
}

interface TargetState {
  readonly nameHash: number
  readonly health: RunnerHealth
  open: number
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
    if (demand.sharedParts.length > 0) return Right(this.byAffinity(candidates, demand.sharedParts))
    return Right({ target: this.fewestOpen(candidates, random), candidates: candidates.length, reason: 'fewestOpen' })
  }

  /**
   * Counts a request sent to a target.
   * @param id - id of the target
   */
  sent (id: string): void {
    this.stateOf(id).open += 1
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

  private byAffinity (candidates: readonly TargetView[], sharedParts: readonly string[]): TargetChoice {
    const key = hashName(sharedParts.join(','))
    const weighted = candidates.map(target => ({ target, weight: pairWeight(key, this.stateOf(target.id).nameHash) }))
    weighted.sort((a, b) => b.weight - a.weight)
    const open = candidates.reduce((sum, { id }) => sum + this.open(id), 0)
    const bound = BOUND_FACTOR * (open + 1) / candidates.length + BOUND_SLACK
    const index = weighted.findIndex(({ target }) => this.open(target.id) + 1 <= bound)
    const { target } = weighted[Math.max(0, index)] as (typeof weighted)[number]
    return { target, candidates: candidates.length, reason: index > 0 ? 'affinityFull' : 'affinity' }
  }

  private fewestOpen (candidates: readonly TargetView[], random: number): TargetView {
    const least = Math.min(...candidates.map(({ id }) => this.open(id)))
    const equals = candidates.filter(({ id }) => this.open(id) === least)
    return equals[Math.floor(random * equals.length)] as TargetView
  }

  private stateOf (id: string): TargetState {
    const known = this.states.get(id)
    if (known !== undefined) return known
    const fresh = { nameHash: hashName(id), health: new RunnerHealth(), open: 0 }
    this.states.set(id, fresh)
    return fresh
  }
}
