/**
 * Connections can stop responding without a reset, mostly all connections of a process at once. A client
 * whose peer answers on a new connection but not on an old one reports it here; each connection pool then
 * drops the idle connections without traffic since, as each would cost its next request the full timeout.
 */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'

/** Peer type of the pooled connections. */
export type ConnectionKind = 'store' | 'peers' | 'targets'

/** Drops idle connections that have received nothing after `since`, in monotonic milliseconds. */
export type DropIdle = (since: number) => void

/** Forwards each report of an unresponsive connection to all connection pools of the process. */
export class ConnectionLiveness {
  private readonly pools: DropIdle[] = []
  private log: EventLog | undefined

  /** Sets the log, which is created after the clients. */
  setLog (log: EventLog): void {
    this.log = log
  }

  /** Registers a connection pool. */
  onUnresponsive (drop: DropIdle): void {
    this.pools.push(drop)
  }

  /**
   * Reports that a connection stopped responding while the same peer answered on a new one.
   * @param by - client that detected it
   * @param since - monotonic milliseconds after which the old connection received nothing
   */
  reportUnresponsive (by: ConnectionKind, since: number): void {
    this.log?.write('connectionsSilent', { by, since: Math.round(since) })
    for (const drop of this.pools) drop(since)
  }
}
