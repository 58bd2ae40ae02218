/**
 * Order of the calls of one service that wait: the most urgent priority first; within a priority the teams take
 * turns by start-time fair queuing, so that a team's own surge delays its own calls; within a team the oldest first.
 */
import { countStartsBefore, nextTeam, type FairItem, type TeamQueue } from '../routing/teamQueue.js'
import type { AdmissionRequest } from './admissionTypes.js'

/** Each call costs its team one turn; the priority orders levels, not the calls within one. */
const TURN: FairItem = { priority: 0, tokens: 1, weight: 1 }

const HALF_TURN = 0.5

/** A call that waits. */
export interface WaitingRequest<T> extends FairItem {
  readonly request: AdmissionRequest<T>
  /** Monotonic milliseconds until which its start leaves time for the first output. */
  readonly latestStart: number
}

/** The calls of one priority. */
interface Level<T> {
  readonly teams: Map<string, TeamQueue<WaitingRequest<T>>>
  virtualTime: number
  waiting: number
}

export class AdmissionQueue<T> {
  private readonly levels = new Map<number, Level<T>>()
  private waitingCount = 0

  get waiting (): number {
    return this.waitingCount
  }

  add (request: AdmissionRequest<T>, latestStart: number): void {
    const level = this.levelOf(request.priority)
    const team = level.teams.get(request.team) ?? { weight: TURN.weight, tag: level.virtualTime, running: 0, items: [] }
    if (team.items.length === 0) team.tag = Math.max(team.tag, level.virtualTime)
    level.teams.set(request.team, team)
    team.items.push({ ...TURN, request, latestStart })
    this.count(level, 1)
  }

  /** Takes the next call; undefined if none waits. */
  pop (): WaitingRequest<T> | undefined {
    const level = this.ordered().find(({ waiting }) => waiting > 0)
    const team = level === undefined ? undefined : nextTeam(level.teams.values())
    const item = team?.items.shift()
    if (level === undefined || team === undefined || item === undefined) return undefined
    this.count(level, -1)
    level.virtualTime = Math.max(level.virtualTime, team.tag)
    team.tag += item.tokens / item.weight
    this.forgetIdle(level)
    return item
  }

  /** Number of waiting calls that start before a new or waiting one, more urgent ones included. */
  ahead (request: AdmissionRequest<T>): number {
    const level = this.levelOf(request.priority)
    const own = level.teams.get(request.team)
    const found = own?.items.findIndex(other => other.request === request) ?? -1
    const ownAhead = found >= 0 ? found : own?.items.length ?? 0
    const tag = Math.max(own?.tag ?? 0, level.virtualTime) + ownAhead * TURN.tokens / TURN.weight
    let count = ownAhead
    let isBeforeOwn = true
    for (const team of level.teams.values()) {
      if (team === own) isBeforeOwn = false
      // Of equal tags the team that came first goes first.
      else count += countStartsBefore(team, isBeforeOwn ? tag + HALF_TURN : tag)
    }
    for (const [priority, { waiting }] of this.levels) if (priority < request.priority) count += waiting
    return count
  }

  /** Removes and returns the calls for which a condition holds. */
  removeIf (isRemoved: (item: WaitingRequest<T>) => boolean): ReadonlyArray<WaitingRequest<T>> {
    const removed: Array<WaitingRequest<T>> = []
    if (this.waitingCount === 0) return removed
    for (const level of this.levels.values()) {
      for (const team of level.teams.values()) {
        const leaving = team.items.filter(isRemoved)
        if (leaving.length === 0) continue
        const left = team.items.filter(item => !leaving.includes(item))
        team.items.splice(0, team.items.length, ...left)
        this.count(level, -leaving.length)
        removed.push(...leaving)
      }
    }
    return removed
  }

  private ordered (): ReadonlyArray<Level<T>> {
    return [...this.levels].sort(([a], [b]) => a - b).map(([, level]) => level)
  }

  private levelOf (priority: number): Level<T> {
    const level = this.levels.get(priority) ?? { teams: new Map(), virtualTime: 0, waiting: 0 }
    this.levels.set(priority, level)
    return level
  }

  private count (level: Level<T>, change: number): void {
    level.waiting += change
    this.waitingCount += change
  }

  /** A team whose tag is ahead of the virtual time stays, or it would lose what it was charged. */
  private forgetIdle ({ teams, virtualTime }: Level<T>): void {
    for (const [name, { items, tag }] of teams) if (items.length === 0 && tag <= virtualTime) teams.delete(name)
  }
}
