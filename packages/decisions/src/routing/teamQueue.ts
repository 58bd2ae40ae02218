/**
 * Queue of one team within a fair queue, and the virtual time at which the team is next served.
 */
/** Head start over other teams per priority level, as virtual time (tokens at weight 1). */
const HEAD_START_TOKENS = 4_000

/** What the order of items depends on. */
export interface FairItem {
  /** Higher goes first within the team, and gives a head start against other teams. */
  readonly priority: number
  /** What the item costs its team. */
  readonly tokens: number
  /** Share of its team. */
  readonly weight: number
}

export interface TeamQueue<Item extends FairItem> {
  weight: number
  /** Virtual time at which its next item starts. */
  tag: number
  running: number
  /** Waiting items by priority, then by arrival. */
  readonly items: Item[]
}

/** Inserts an item after those of the same or a higher priority. */
export function insertByPriority<Item extends FairItem> (items: Item[], item: Item): void {
  const index = items.findIndex(other => other.priority < item.priority)
  items.splice(index < 0 ? items.length : index, 0, item)
}

/** Virtual time by which an item may start ahead of its team's tag. */
export function headStart (item: FairItem): number {
  return item.priority * HEAD_START_TOKENS
}

/** Number of items of a team that start before the virtual time `tag`. */
export function countStartsBefore<Item extends FairItem> (team: TeamQueue<Item>, tag: number): number {
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
export function nextTeam<Item extends FairItem> (teams: Iterable<TeamQueue<Item>>): TeamQueue<Item> | undefined {
  let next: TeamQueue<Item> | undefined
  let lowest = Infinity
  for (const team of teams) {
    const [head] = team.items
    if (head === undefined || team.tag - headStart(head) >= lowest) continue
    lowest = team.tag - headStart(head)
    next = team
  }
  return next
}
