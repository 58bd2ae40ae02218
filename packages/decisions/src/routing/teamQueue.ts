/**
 * Queue of one team within a fair queue, and the virtual time at which the team is next served.
 */
import type { QueueItem } from './queueTypes.js'

/** Head start over other teams per priority level, as virtual time (tokens at weight 1). */
const HEAD_START_TOKENS = 4_000

export interface TeamQueue<T> {
  weight: number
  /** Virtual time at which its next item starts. */
  tag: number
  running: number
  /** Waiting items by priority, then by arrival. */
  readonly items: QueueItem<T>[]
}

/** Inserts an item after those of the same or a higher priority. */
export function insertByPriority<T> (items: QueueItem<T>[], item: QueueItem<T>): void {
  const index = items.findIndex(other => other.priority < item.priority)
  items.splice(index < 0 ? items.length : index, 0, item)
}

/** Virtual time by which an item may start ahead of its team's tag. */
export function headStart<T> (item: QueueItem<T>): number {
  return item.priority * HEAD_START_TOKENS
}

/** Number of items of a team that start before the virtual time `tag`. */
export function countStartsBefore<T> (team: TeamQueue<T>, tag: number): number {
  let nextTag = team.tag
  let count = 0
  for (const item of team.items) {
    if (nextTag - headStart(item) >= tag) break
    nextTag += item.tokens / item.weight
    count += 1
  }
  return count
}

/** The team whose head item has the lowest tag; the first one of equal tags. */
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
