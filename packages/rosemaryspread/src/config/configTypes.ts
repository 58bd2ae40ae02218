/**
 * Interfaces that the configuration needs from the rest of the VM, and settings of its propagation.
 */
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ConfigSource } from '@rosemaryspread/decisions/config/configDecider.js'
import type { VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ObjectStore } from '@rosemaryspread/infra/objects/objectTypes.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

/** Timers; backed by the system clock in the daemon, and by a virtual one in tests and measurements. */
export interface ConfigTimers {
  /**
   * Calls a function once.
   * @param ms - delay in milliseconds
   * @returns cancels the call
   */
  after (ms: number, fn: () => void): () => void
}

export async function delay (timers: ConfigTimers, ms: number): Promise<void> {
  await new Promise<void>(resolve => { timers.after(ms, resolve) })
}

/** Dependencies of {@link ConfigStore}. */
export interface ConfigStoreDeps {
  readonly table: TableStore
  readonly objects: ObjectStore
  readonly clock: Clock
  readonly log: EventLog
  readonly timers: ConfigTimers
  /** Random numbers in [0, 1). */
  readonly random: () => number
}

/** Access to the other VMs. */
export interface ConfigPeers {
  /** Peer addresses of the VMs that count as live, without this one. */
  addresses (): readonly string[]
  /**
   * Calls a method of a peer.
   * @param address - IPv4:port of the peer
   * @param params - a JSON value
   * @param timeoutMs - milliseconds until the call is abandoned
   */
  call (address: string, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>>
}

/** Notified of each version that comes into force, in order, with its source. */
export type ConfigListener = (held: VerifiedConfig, source: ConfigSource) => void

/** Periods and sizes of the propagation. */
export interface ConfigPropagationSettings {
  /** Milliseconds between polls of the current version; longer in large fleets, see `pollPeriod`. */
  readonly pollMs: number
  /** Peers that each VM notifies of a new version. */
  readonly fanout: number
  /** Milliseconds after which a pushed version that the table has not returned is fetched from the peer. */
  readonly hedgeMs: number
  /** Timeout of a call to a peer, in milliseconds. */
  readonly peerTimeoutMs: number
  /** Milliseconds between checks that the version in force can be restored from the object store. */
  readonly repairMs: number
}

/** Suitable for fleets of 6 to 360 VMs. */
export const defaultPropagationSettings: ConfigPropagationSettings = {
  pollMs: 1_000,
  fanout: 8,
  hedgeMs: 250,
  peerTimeoutMs: 2_000,
  repairMs: 60_000
}
