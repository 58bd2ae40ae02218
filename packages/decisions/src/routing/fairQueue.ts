/**
 * Bounded queue with weighted fairness between teams (start-time fair queuing). The team with the
 * lowest tag goes next, and each start advances its tag by tokens / weight; idle time earns no
 * credit. Priority orders requests within a team. Against other teams it is a bounded head start
 * that is charged like any service, so that marking every request urgent gains no share.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'
import { Ewma } from './ewma.js'
import { wouldMissDeadline, deadlineFailure, admissionFailure, type QueueState } from './queueRefusal.js'
import type { ExpiredItem, QueueItem, RequestQueue } from './queueTypes.js'
import { headStart, insertByPriority, nextTeam, countStartsBefore, type TeamQueue } from './teamQueue.js'

/** Waiting requests over all teams. */
const DEFAULT_MAX_WAITING = 1_024

/** Fair queue of one VM for one model; see {@link RequestQueue}. */
export class FairQueue<T> implements RequestQueue<T> {
  private readonly teams = new Map<string, TeamQueue<QueueItem<T>>>()
  private readonly serviceMs = new Ewma()
  private virtualTime = 0
  private waitingCount = 0
  private runningCount = 0

  /**
   * @param concurrency - requests that may run at once
   * @param capacity - requests that may wait
   */
  constructor (private concurrency: number, private readonly capacity = DEFAULT_MAX_WAITING) {}

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
    const team = this.getOrCreateTeam(item)
    const failure = admissionFailure(item, this.queueStateFor(team, item), now)
    if (failure !== undefined) {
      this.deleteIfIdle(item.team, team)
      return Left(failure)
    }
    if (team.items.length === 0) team.tag = Math.max(team.tag, this.virtualTime)
    insertByPriority(team.items, item)
    this.waitingCount += 1
    return Right(undefined)
  }

  pop (): QueueItem<T> | undefined {
    if (this.runningCount >= this.concurrency) return undefined
    const team = nextTeam(this.teams.values())
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
    const team = this.getOrCreateTeam(item)
    team.tag -= item.tokens / item.weight
    team.items.unshift(item)
    this.stopped(team)
    this.waitingCount += 1
  }

  abandoned (item: QueueItem<T>): void {
    const team = this.getOrCreateTeam(item)
    team.tag -= item.tokens / item.weight
    this.stopped(team)
    this.deleteIfIdle(item.team, team)
  }

  expire (now: Instant): readonly ExpiredItem<T>[] {
    const expired: ExpiredItem<T>[] = []
    for (const [name, team] of this.teams) {
      const late = team.items.filter(item => wouldMissDeadline(item, now))
      if (late.length === 0) continue
      for (const item of late) expired.push({ item, failure: deadlineFailure('waited in the queue until its deadline came out of reach', this.teamStartIntervalMs(team)) })
      this.removeItems(team, late)
      this.deleteIfIdle(name, team)
    }
    return expired
  }

  remove (id: string): boolean {
    for (const [name, team] of this.teams) {
      const found = team.items.filter(item => item.id === id)
      if (found.length === 0) continue
      this.removeItems(team, found)
      this.deleteIfIdle(name, team)
      return true
    }
    return false
  }

  done (item: QueueItem<T>, usedTokens: number, ranMs: number): void {
    const team = this.getOrCreateTeam(item)
    team.tag -= (item.tokens - Math.min(usedTokens, item.tokens)) / item.weight
    this.stopped(team)
    this.serviceMs.add(ranMs)
    this.deleteIfIdle(item.team, team)
  }

  private queueStateFor (team: TeamQueue<QueueItem<T>>, item: QueueItem<T>): QueueState {
    return {
      teamInFlight: team.items.length + team.running,
      waiting: this.waitingCount,
      capacity: this.capacity,
      waitMs: this.waitMs(team, item),
      teamStartIntervalMs: this.teamStartIntervalMs(team)
    }
  }

  /** Predicted wait: the number of requests that would start earlier, times the current start interval. */
  private waitMs (team: TeamQueue<QueueItem<T>>, item: QueueItem<T>): number {
    if (this.waitingCount === 0 && this.runningCount < this.concurrency) return 0
    return (this.countStartsBefore(team, item) + 0.5) * this.startIntervalMs(item.serviceMs)
  }

  /** Waiting requests that would start before a new one. */
  private countStartsBefore (team: TeamQueue<QueueItem<T>>, item: QueueItem<T>): number {
    const ahead = team.items.filter(other => other.priority >= item.priority)
    const tokensAhead = ahead.reduce((sum, other) => sum + other.tokens, 0)
    const tag = Math.max(team.tag, this.virtualTime) + tokensAhead / team.weight - headStart(item)
    let count = ahead.length
    for (const other of this.teams.values()) if (other !== team) count += countStartsBefore(other, tag)
    return count
  }

  /** Milliseconds between two starts of a team, as long as all waiting teams have requests. */
  private teamStartIntervalMs (team: TeamQueue<QueueItem<T>>): number {
    let weights = team.items.length === 0 ? team.weight : 0
    for (const other of this.teams.values()) if (other.items.length > 0) weights += other.weight
    return this.startIntervalMs(0) * weights / team.weight
  }

  /** Milliseconds between two starts over all teams. */
  private startIntervalMs (fallbackMs: number): number {
    const serviceMs = this.serviceMs.count > 0 ? this.serviceMs.mean : fallbackMs
    const concurrent = this.waitingCount > 0 ? this.runningCount : this.concurrency
    return serviceMs / Math.max(1, concurrent)
  }

  private getOrCreateTeam (item: QueueItem<T>): TeamQueue<QueueItem<T>> {
    const existing = this.teams.get(item.team)
    if (existing !== undefined) {
      existing.weight = item.weight
      return existing
    }
    const team: TeamQueue<QueueItem<T>> = { weight: item.weight, tag: this.virtualTime, running: 0, items: [] }
    this.teams.set(item.team, team)
    return team
  }

  private stopped (team: TeamQueue<QueueItem<T>>): void {
    team.running = Math.max(0, team.running - 1)
    this.runningCount = Math.max(0, this.runningCount - 1)
  }

  private removeItems (team: TeamQueue<QueueItem<T>>, removed: readonly QueueItem<T>[]): void {
    const remaining = team.items.filter(item => !removed.includes(item))
    this.waitingCount -= team.items.length - remaining.length
    team.items.splice(0, team.items.length, ...remaining)
  }

  /** A team whose tag is ahead of the virtual time stays, or it would lose what it was charged. */
  private deleteIfIdle (name: string, team: TeamQueue<QueueItem<T>>): void {
    if (team.items.length === 0 && team.running === 0 && team.tag <= this.virtualTime) this.teams.delete(name)
  }
}
