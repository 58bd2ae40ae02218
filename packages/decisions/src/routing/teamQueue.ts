/**
 * The part of one team in a fair queue: what waits and runs, and the virtual time of its turn.
 */
import type { QueueItem } from './queueTypes.js'

/** Virtual time, in tokens at weight 1, by which one level of priority may go ahead of other teams. */
const HEAD_START = 4_000

/** What waits and runs for one team. */
export interface TeamQueue<T> {
  weight: number
  /** Virtual time at which its next item starts. */
  tag: number
  running: number
  /** By priority, then by arrival. */
  readonly items: QueueItem<T>[]
}

/**
 * Puts an item behind those of the same or a higher priority.
 * @param items - items of a team
 * @param item - the new one
 */
export function insert<T> (items: QueueItem<T>[], item: QueueItem<T>): void {
  const index = items.findIndex(other => other.priority < item.priority)
  items.splice(index < 0 ? items.length : index, 0, item)
}

/**
 * Virtual time by which an item goes before its team's turn.
 * @param item - the item
 */
export function headStart<T> (item: QueueItem<T>): number {
  return item.priority * HEAD_START
}

/**
 * How many items of a team start before a tag.
 * @param team - the team
 * @param tag - virtual time
 */
export function startsUpTo<T> (team: TeamQueue<T>, tag: number): number {
  let next = team.tag
  let count = 0
  for (const item of team.items) {
    if (next - headStart(item) >= tag) break
    next += item.tokens / item.weight
    count += 1
  }
  return count
}

/**
 * The team whose head item has the lowest tag; of equal ones the first.
 * @param teams - all teams
 */
export function nextTeam<T> (teams: Iterable<TeamQueue<T>>): TeamQueue<T> | undefined {
  let next: TeamQueue<T> | undefined
  let lowest = Infinity
  for (const team of teams) {
    const [head] = team.items
    if (head === undefined || team.tag - headStart(head) >= lowest) continue
    lowest = team.tag - headStart(head)
    next = team
  }
  return next
}
