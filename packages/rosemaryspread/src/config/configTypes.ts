/**
 * What the configuration asks of the rest of the VM.
 */
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ConfigSource } from '@rosemaryspread/decisions/config/configDecider.js'
import type { HeldConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ObjectStore } from '@rosemaryspread/infra/objects/objectTypes.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

/** Timers; the daemon binds the system's, tests and measurements a virtual clock. */
export interface ConfigTimers {
  /**
   * Calls a function once, later.
   * @param ms - milliseconds from now
   * @param fn - the function
   * @returns cancels the call
   */
  after (ms: number, fn: () => void): () => void
}

/**
 * Waits.
 * @param timers - where time comes from
 * @param ms - milliseconds
 */
export async function pauseOn (timers: ConfigTimers, ms: number): Promise<void> {
  await new Promise<void>(resolve => { timers.after(ms, resolve) })
}

/** What {@link ConfigStore} is made of. */
export interface ConfigStoreParts {
  readonly table: TableStore
  readonly objects: ObjectStore
  readonly clock: Clock
  readonly log: EventLog
  readonly timers: ConfigTimers
  /** Numbers in [0, 1). */
  readonly random: () => number
}

/** The other VMs as the configuration sees them. */
export interface ConfigPeers {
  /** Peer addresses of the VMs believed to live, without this one. */
  addresses (): readonly string[]
  /**
   * Calls a method of a peer.
   * @param address - IPv4:port of the peer
   * @param method - method name
   * @param params - a plain value
   * @param timeoutMs - milliseconds until the call is given up
   */
  call (address: string, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>>
}

/** Told of each version that comes into force, in order, and where it came from. */
export type ConfigListener = (held: HeldConfig, source: ConfigSource) => void

/** Periods and sizes of the spread. */
export interface ConfigSpreadSettings {
  /** Milliseconds between polls of the current version; longer in large fleets, see `pollPeriod`. */
  readonly pollMs: number
  /** Peers that each VM tells of a new version. */
  readonly fanout: number
  /** Milliseconds after which a push that the table did not serve is served by the peer. */
  readonly hedgeMs: number
  /** Milliseconds a call to a peer may take. */
  readonly peerTimeoutMs: number
  /** Milliseconds between checks that the object store leads to the version in force. */
  readonly repairMs: number
}

/** Settings that suit fleets of 6 to 360 VMs. */
export const defaultSpread: ConfigSpreadSettings = {
  pollMs: 1_000,
  fanout: 8,
  hedgeMs: 250,
  peerTimeoutMs: 2_000,
  repairMs: 60_000
}
