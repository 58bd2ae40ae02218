/**
 * Bounded queue with weighted fairness between teams by virtual time (start-time fair queuing):
 * a team's turn comes when its tag is the lowest; each start moves its tag on by the tokens
 * divided by its weight. A team that was idle starts at the present virtual time, so it neither
 * saves up credit nor pays for the past. Priority orders requests inside a team; against other
 * teams it is only a bounded head start, charged like any service, so that a team which calls
 * everything urgent gains no share.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Instant } from '../clock/clockTypes.js'
import { Failure } from '../codes/failure.js'
import { Ewma } from './ewma.js'
import type { ExpiredItem, QueueItem, RequestQueue } from './queueTypes.js'

/** Items that wait at most, over all teams. */
const DEFAULT_CAPACITY = 1_024

/** Part of an item's slack that it may be predicted to wait; the rest covers errors of the prediction. */
const WAIT_SHARE = 0.9

/** Virtual time, in tokens at weight 1, by which one level of priority may go ahead of other teams. */
const HEAD_START = 4_000

/** Shortest time to come back, in milliseconds. */
const RETRY_LEAST_MS = 250

interface TeamQueue<T> {
  weight: number
  /** Virtual time at which its next item starts. */
  tag: number
  running: number
  /** By priority, then by arrival. */
  readonly items: QueueItem<T>[]
}

/** Fair queue of one VM for one model. */
export class FairQueue<T> implements RequestQueue<T> {
  private readonly teams = new Map<string, TeamQueue<T>>()
  private readonly serviceMs = new Ewma()
  private virtualTime = 0
  private waitingCount = 0
  private runningCount = 0

  /**
   * @param concurrency - requests that may run at once
   * @param capacity - requests that may wait
   */
  constructor (private concurrency: number, private readonly capacity = DEFAULT_CAPACITY) {}

  get waiting (): number {
    return this.waitingCount
  }

  get running (): number {
    return this.runningCount
  }

  setConcurrency (limit: number): void {
    this.concurrency = Math.max(1, limit)
  }

  offer (item: QueueItem<T>, now: Instant): Either<Failure, void> {
    const team = this.teamOf(item)
    const waitMs = this.waitMs(team, item)
    const failure = this.refusal(team, item, waitMs, now)
    if (failure !== undefined) {
      this.dropIdle(item.team, team)
      return Left(failure)
    }
    if (team.items.length === 0) team.tag = Math.max(team.tag, this.virtualTime)
    insert(team.items, item)
    this.waitingCount += 1
    return Right(undefined)
  }

  pop (): QueueItem<T> | undefined {
    if (this.runningCount >= this.concurrency) return undefined
    const team = this.nextTeam()
    const item = team?.items.shift()
    if (team === undefined || item === undefined) return undefined
    this.virtualTime = Math.max(this.virtualTime, team.tag)
    team.tag += item.tokens / item.weight
    team.running += 1
    this.waitingCount -= 1
    this.runningCount += 1
    return item
  }

  putBack (item: QueueItem<T>): void {
    const team = this.teamOf(item)
    team.tag -= item.tokens / item.weight
    team.items.unshift(item)
    this.stopped(team)
    this.waitingCount += 1
  }

  abandoned (item: QueueItem<T>): void {
    const team = this.teamOf(item)
    team.tag -= item.tokens / item.weight
    this.stopped(team)
    this.dropIdle(item.team, team)
  }

  expire (now: Instant): readonly ExpiredItem<T>[] {
    const expired: ExpiredItem<T>[] = []
    for (const [name, team] of this.teams) {
      const late = team.items.filter(item => isLate(item, now))
      if (late.length === 0) continue
      for (const item of late) expired.push({ item, failure: outOfReach('its turn did not come in time', this.turnMs(team)) })
      this.take(team, late)
      this.dropIdle(name, team)
    }
    return expired
  }

  remove (id: string): boolean {
    for (const [name, team] of this.teams) {
      const found = team.items.filter(item => item.id === id)
      if (found.length === 0) continue
      this.take(team, found)
      this.dropIdle(name, team)
      return true
    }
    return false
  }

  done (item: QueueItem<T>, usedTokens: number, ranMs: number): void {
    const team = this.teamOf(item)
    team.tag -= (item.tokens - Math.min(usedTokens, item.tokens)) / item.weight
    this.stopped(team)
    this.serviceMs.add(ranMs)
    this.dropIdle(item.team, team)
  }

  private refusal (team: TeamQueue<T>, item: QueueItem<T>, waitMs: number, now: Instant): Failure | undefined {
    const turnMs = this.turnMs(team)
    if (team.items.length + team.running >= item.maxInFlight) {
      return new Failure('queueFull', `team ${item.team} has ${item.maxInFlight} requests in progress`, extras(turnMs))
    }
    if (this.waitingCount >= this.capacity) {
      return new Failure('overloaded', `${this.capacity} requests wait`, extras(turnMs))
    }
    const slackMs = item.deadline.mono - now.mono - item.serviceMs
    if (slackMs < 0) return outOfReach('the time left is shorter than the request takes', -slackMs)
    if (waitMs <= slackMs * WAIT_SHARE) return undefined
    return outOfReach(`predicted wait ${Math.round(waitMs)} ms`, waitMs - slackMs * WAIT_SHARE)
  }

  /** Predicted wait: everything that would start before it, at the present pace. */
  private waitMs (team: TeamQueue<T>, item: QueueItem<T>): number {
    if (this.waitingCount === 0 && this.runningCount < this.concurrency) return 0
    return (this.startsBefore(team, item) + 0.5) * this.startGapMs(item.serviceMs)
  }

  /** Items that wait and would start before a new one. */
  private startsBefore (team: TeamQueue<T>, item: QueueItem<T>): number {
    const ahead = team.items.filter(other => other.priority >= item.priority)
    const tokensAhead = ahead.reduce((sum, other) => sum + other.tokens, 0)
    const tag = Math.max(team.tag, this.virtualTime) + tokensAhead / team.weight - headStart(item)
    let count = ahead.length
    for (const other of this.teams.values()) if (other !== team) count += startsUpTo(other, tag)
    return count
  }

  /** Time between two starts of one team while all teams that wait keep waiting. */
  private turnMs (team: TeamQueue<T>): number {
    let weights = team.items.length === 0 ? team.weight : 0
    for (const other of this.teams.values()) if (other.items.length > 0) weights += other.weight
    return this.startGapMs(0) * weights / team.weight
  }

  /** Time between two starts of any team. */
  private startGapMs (fallbackMs: number): number {
    const serviceMs = this.serviceMs.count > 0 ? this.serviceMs.mean : fallbackMs
    const atOnce = this.waitingCount > 0 ? this.runningCount : this.concurrency
    return serviceMs / Math.max(1, atOnce)
  }

  private nextTeam (): TeamQueue<T> | undefined {
    let next: TeamQueue<T> | undefined
    let lowest = Infinity
    for (const team of this.teams.values()) {
      const [head] = team.items
      if (head === undefined || team.tag - headStart(head) >= lowest) continue
      lowest = team.tag - headStart(head)
      next = team
    }
    return next
  }

  private teamOf (item: QueueItem<T>): TeamQueue<T> {
    const known = this.teams.get(item.team)
    if (known !== undefined) {
      known.weight = item.weight
      return known
    }
    const team: TeamQueue<T> = { weight: item.weight, tag: this.virtualTime, running: 0, items: [] }
    this.teams.set(item.team, team)
    return team
  }

  private stopped (team: TeamQueue<T>): void {
    team.running = Math.max(0, team.running - 1)
    this.runningCount = Math.max(0, this.runningCount - 1)
  }

  private take (team: TeamQueue<T>, gone: readonly QueueItem<T>[]): void {
    const rest = team.items.filter(item => !gone.includes(item))
    this.waitingCount -= team.items.length - rest.length
    team.items.splice(0, team.items.length, ...rest)
  }

  /** Forgets a team that has nothing here and owes nothing. */
  private dropIdle (name: string, team: TeamQueue<T>): void {
    if (team.items.length === 0 && team.running === 0 && team.tag <= this.virtualTime) this.teams.delete(name)
  }
}

function insert<T> (items: QueueItem<T>[], item: QueueItem<T>): void {
  const index = items.findIndex(other => other.priority < item.priority)
  items.splice(index < 0 ? items.length : index, 0, item)
}

/** Virtual time by which an item goes before its team's turn. */
function headStart<T> (item: QueueItem<T>): number {
  return item.priority * HEAD_START
}

/** How many items of a team start before a tag. */
function startsUpTo<T> (team: TeamQueue<T>, tag: number): number {
  let next = team.tag
  let count = 0
  for (const item of team.items) {
    if (next - headStart(item) >= tag) break
    next += item.tokens / item.weight
    count += 1
  }
  return count
}

function isLate<T> (item: QueueItem<T>, now: Instant): boolean {
  return now.mono + item.serviceMs > item.deadline.mono
}

function outOfReach (detail: string, retryMs: number): Failure {
  return new Failure('deadlineOutOfReach', detail, extras(retryMs))
}

function extras (retryMs: number): { ran: 'no', retryAfterMs: number } {
  return { ran: 'no', retryAfterMs: Math.ceil(Math.max(RETRY_LEAST_MS, retryMs)) }
}
