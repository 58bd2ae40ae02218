/**
 * Connections can go silent for good without a reset, mostly all that a process has at once. Whoever sees that
 * another end answers on a new connection but not on an old one tells it here; whoever keeps connections
 * drops those on which nothing was heard since, as each would cost its next request its whole time.
 */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'

/** What kept connections lead to. */
export type ConnectionKind = 'store' | 'peers' | 'targets'

/** Drops connections without a request on which nothing was heard after a time, in monotonic milliseconds. */
export type DropIdle = (since: number) => void

/** Brings together those who notice silence and those who keep connections. */
export class ConnectionSilence {
  private readonly keepers: DropIdle[] = []
  private log: EventLog | undefined

  /**
   * Has lines of what was noticed written.
   * @param log - the log of the process
   */
  logTo (log: EventLog): void {
    this.log = log
  }

  /**
   * Adds one who keeps connections.
   * @param drop - drops them
   */
  onNoticed (drop: DropIdle): void {
    this.keepers.push(drop)
  }

  /**
   * Tells that a connection went silent while a new one to the same end was answered.
   * @param by - where it was noticed
   * @param since - monotonic milliseconds after which nothing was heard on the old connection
   */
  noticed (by: ConnectionKind, since: number): void {
    this.log?.write('connectionsSilent', { by, since: Math.round(since) })
    for (const drop of this.keepers) drop(since)
  }
}
