/**
 * Chooses the target of a request. Requests with the same shared prompt parts meet at the target that
 * rendezvous hashing names for these parts at every VM, so that it finds them in its cache; another
 * target in that order takes them where it gives the first token so much sooner that reading the shared
 * parts there is worth it. Requests without such parts go where this VM has the fewest requests open.
 */
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '../codes/failure.js'
import { hashName, pairWeight } from '../routing/rendezvous.js'
import { TargetHealth } from '../routing/targetHealth.js'
import { TargetLoad } from './targetLoad.js'
import type { TargetView } from './targetSet.js'
import { WarmUpPart, type WarmUpRate } from './warmUpPart.js'

/**
 * Targets, in the order of rendezvous hashing, that are weighed for a request with shared parts. With all eight
 * of a pool 341,000 shared tokens were read again on a quiet day, with three 290,000.
 */
const WEIGHED = 3
/**
 * Times the reading of shared parts counts: what it delays the request itself, and what it delays others
 * and takes from the target's memory. Against 2, a third fewer tokens were read again on a quiet day (194,000
 * of 290,000) and 116 streams were late of 133.
 */
const REREAD_FACTOR = 4
/** Prompt tokens from which other VMs are told of a request: what delays others by some ten milliseconds. */
const TOLD_TOKENS = 2_000
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
  /** Set for a request under which targets ended. */
  readonly suspicion?: Suspicion
  /** What targets bear while they warm up; absent where nothing bounds it. */
  readonly warmUp?: WarmUpRate
}

/** Why a request has to go where all VMs send it. */
export interface Suspicion {
  /** Name by which they choose. */
  readonly digest: string
  /** Failure domains in which targets ended under it; if one of them is going down, the request fares better elsewhere. */
  readonly domains: readonly string[]
}

/** A target chosen, and the reason for the log. */
export interface TargetChoice {
  readonly target: Pick<TargetView, 'id' | 'address' | 'domain' | 'startedAt'>
  /** Number of the candidates, or their names. */
  readonly candidates: number | readonly string[]
  readonly reason: string
  /** Prompt tokens that the target is believed to read for it. */
  readonly work: number
  /** Targets that were left out, as they asked this VM to wait; absent where none can. */
  readonly paused?: number
}

/** What other VMs are told of a request that went to a target. */
export const workNoticeSchema = z.object({
  target: z.string(),
  /** Prompt tokens that the target has to read. */
  work: z.number().nonnegative(),
  /** Name of the shared parts that it has read then. */
  parts: z.string()
})
export type WorkNotice = z.infer<typeof workNoticeSchema>

/** A request that was sent. */
export interface SentWork {
  /** Names the request on {@link TargetBalancer.begun}. */
  readonly ticket: number
  /** What other VMs should know; absent for small requests at the target where all VMs expect them. */
  readonly notice?: WorkNotice
}

interface TargetState {
  readonly nameHash: number
  readonly health: TargetHealth
  readonly load: TargetLoad
  /** Absent for a target that did not say that it warms up. */
  warmUp?: WarmUpPart
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
    const untried = targets.filter(({ id }) => !demand.exclude.has(id))
    if (untried.length === 0) {
      return Left(new Failure('noRunner', 'no target of the service takes new work', { retryAfterMs: NONE_RETRY_MS }))
    }
    const bearing = untried.filter(({ id }) => this.warmUpWait(id, demand, mono) === 0)
    if (bearing.length === 0) return Left(this.allWarmUp(untried, demand, mono))
    const candidates = this.usable(bearing, mono)
    if (demand.suspicion !== undefined) return Right(this.suspected(candidates, demand.suspicion, demand))
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
  sent ({ target, work, reason }: TargetChoice, sharedParts: readonly string[], mono: number): SentWork {
    const state = this.stateOf(target.id)
    state.open += 1
    state.warmUp?.sent(mono)
    const ticket = state.load.sent(work, mono)
    if (sharedParts.length === 0) return { ticket }
    const parts = nameOf(hashOf(sharedParts))
    state.load.remember(parts, mono)
    const isTold = work >= TOLD_TOKENS || reason === 'lessWork'
    return isTold ? { ticket, notice: { target: target.id, work, parts } } : { ticket }
  }

  /**
   * Takes what another VM told of a request that it sent.
   * @param notice - the request
   * @param mono - present time
   */
  told ({ target, work, parts }: WorkNotice, mono: number): void {
    const { load } = this.stateOf(target)
    load.told(work, mono)
    load.remember(parts, mono)
  }

  /**
   * Takes what a target says of its warm-up.
   * @param id - id of the target
   * @param leftMs - milliseconds until it is warm; 0 or less when it is
   * @param mono - present time
   */
  warmsUp (id: string, leftMs: number, mono: number): void {
    const known = this.states.get(id)?.warmUp
    if (known !== undefined) known.told(mono + leftMs)
    else if (leftMs > 0) this.stateOf(id).warmUp = new WarmUpPart(id, mono + leftMs)
  }

  /**
   * The target began to answer, or the request ended without it.
   * @param id - id of the target
   * @param ticket - what {@link sent} answered
   * @param isAnswered - whether it began to answer
   * @param mono - present time
   */
  begun (id: string, ticket: number, isAnswered: boolean, mono: number): void {
    this.stateOf(id).load.begun(ticket, isAnswered, mono)
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

  /**
   * Forgets what was learned of a target: another process has its id, which keeps nothing of before.
   * @param id - id of the target
   */
  restarted (id: string): void {
    const known = this.states.get(id)
    if (known === undefined) return
    this.states.delete(id)
    this.stateOf(id).open = known.open
  }

  private warmUpWait (id: string, { warmUp }: TargetDemand, mono: number): number {
    const part = this.states.get(id)?.warmUp
    return part === undefined || warmUp === undefined ? 0 : part.waitMs(warmUp, mono)
  }

  private allWarmUp (targets: readonly TargetView[], demand: TargetDemand, mono: number): Failure {
    const waitMs = Math.min(...targets.map(({ id }) => this.warmUpWait(id, demand, mono)))
    return new Failure('targetsWarmUp', 'the targets left warm up and bear no further request now', { retryAfterMs: Math.ceil(waitMs) })
  }

  /** Ejected targets are left out unless all are: serving badly is better than refusing everything. */
  private usable (targets: readonly TargetView[], mono: number): readonly TargetView[] {
    const healthy = targets.filter(({ id }) => {
      const { health, open } = this.stateOf(id)
      return health.share(mono, open) > 0
    })
    return healthy.length > 0 ? healthy : targets
  }

  /** The first target in order, unless another answers so much sooner that reading the shared parts there is worth it. */
  private byAffinity (candidates: readonly TargetView[], demand: TargetDemand, mono: number): TargetChoice {
    const key = hashOf(demand.sharedParts)
    const parts = nameOf(key)
    const ordered = candidates
      .map(target => ({ target, weight: pairWeight(key, this.stateOf(target.id).nameHash) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, WEIGHED)
    const weighed = ordered.map(({ target }, rank) => {
      const { load } = this.stateOf(target.id)
      const unread = rank === 0 || load.keeps(parts, mono) ? 0 : demand.sharedTokens
      const cost = (load.ahead(mono) + demand.ownTokens + REREAD_FACTOR * unread) / load.tokensPerMs
      return { target, rank, cost, work: demand.ownTokens + unread }
    })
    const { target, rank, work } = weighed.reduce((best, next) => next.cost < best.cost ? next : best)
    return { target, work, candidates: candidates.length, reason: rank === 0 ? 'affinity' : 'lessWork' }
  }

  /**
   * The first target in the order of rendezvous hashing: VMs that know the same targets agree on it whatever their load, so that
   * copies of a request that ends targets end one and not several.
   */
  private suspected (candidates: readonly TargetView[], { digest, domains }: Suspicion, { ownTokens, sharedTokens }: TargetDemand): TargetChoice {
    const key = hashName(digest)
    const weightOf = ({ id }: TargetView): number => pairWeight(key, this.stateOf(id).nameHash)
    const elsewhere = candidates.filter(({ domain }) => !domains.includes(domain))
    const target = (elsewhere.length > 0 ? elsewhere : candidates).reduce((best, next) => weightOf(next) > weightOf(best) ? next : best)
    return { target, work: ownTokens + sharedTokens, candidates: candidates.length, reason: 'suspected' }
  }

  private fewestOpen (candidates: readonly TargetView[], random: number): TargetView {
    const least = Math.min(...candidates.map(({ id }) => this.open(id)))
    const equals = candidates.filter(({ id }) => this.open(id) === least)
    return equals[Math.floor(random * equals.length)] as TargetView
  }

  private stateOf (id: string): TargetState {
    const known = this.states.get(id)
    if (known !== undefined) return known
    const fresh = { nameHash: hashName(id), health: new TargetHealth(), load: new TargetLoad(), open: 0 }
    this.states.set(id, fresh)
    return fresh
  }
}

function hashOf (parts: readonly string[]): number {
  return hashName(parts.join(','))
}

/** A short name of hashed shared parts, the same at all VMs. */
function nameOf (hash: number): string {
  return hash.toString(36)
}
