/**
 * Types of role leases. Each role has two rows: `leases/<role>` is written at each renewal,
 * `fences/<role>` only when the holder changes, so that writes under the lease can check the version
 * of the fence row without conflicting with a concurrent renewal.
 */
import * as z from 'zod'
import type { Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'

export const LEASE_TABLE = 'leases'
export const FENCE_TABLE = 'fences'

const count = z.number().int().nonnegative()

/** Row `leases/<role>`. */
export const leaseRowSchema = z.object({
  role: z.string(),
  holder: z.string(),
  /** Fencing token; increases with each change of holder. */
  fencing: z.number().int().positive(),
  /** Duration of the lease by the table's clock, from the row's last write. */
  durationMs: z.number().int().positive(),
  /** Number of the holder's write, by which a write with an unknown outcome is recognized. */
  renewal: count,
  /** The holder released the role; anyone may acquire it at once. */
  released: z.boolean()
})
export type LeaseRow = z.infer<typeof leaseRowSchema>

/** Row `fences/<role>`. */
export const fenceRowSchema = z.object({ role: z.string(), holder: z.string(), fencing: z.number().int().positive() })
export type FenceRow = z.infer<typeof fenceRowSchema>

/** Precondition on a row of the table: its version, or null when it must not exist. */
export interface LeaseRowCheck {
  readonly table: string
  readonly key: string
  readonly version: number | null
}

export interface LeaseRowWrite {
  readonly table: string
  readonly key: string
  readonly value: LeaseRow | FenceRow
}

/** Both rows as read; `ageMs` is the time since the last write by the table's clock. */
export interface ReadLease {
  readonly lease: { readonly row: LeaseRow, readonly version: number, readonly ageMs: number } | null
  readonly fence: { readonly row: FenceRow, readonly version: number } | null
}

/** Outcome of a write; `version` is the new version of every row written. */
export type LeaseWriteOutcome =
  | { readonly kind: 'written', readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' }

/** Input of the lease manager. */
export type LeaseEvent =
  | { readonly kind: 'tick' }
  /** Whether this process should try to acquire the role; a lease already held continues either way. */
  | { readonly kind: 'candidate', readonly wanted: boolean }
  | { readonly kind: 'readAnswered', readonly read: ReadLease }
  | { readonly kind: 'readFailed' }
  | { readonly kind: 'writeAnswered', readonly outcome: LeaseWriteOutcome }
  /** A write under the lease failed, for example with a conflict, so the rows have to be read again. */
  | { readonly kind: 'recheck' }
  /** Release the role permanently; the action `released` follows. */
  | { readonly kind: 'release' }

/** Output for the caller to execute; at most one read or write is in progress. */
export type LeaseAction =
  | { readonly kind: 'read' }
  | { readonly kind: 'write', readonly checks: readonly LeaseRowCheck[], readonly writes: readonly LeaseRowWrite[] }
  /** The lease was acquired, with a new fencing number. */
  | { readonly kind: 'taken', readonly fencing: number }
  /** The lease expired, or the rows no longer name this process. */
  | { readonly kind: 'lost', readonly fencing: number }
  | { readonly kind: 'released' }

/** Times in milliseconds. */
export interface LeaseLimits {
  readonly durationMs: number
  /**
   * Subtracted from the lease by the holder and added to it by all others. Must exceed the drift
   * between the clocks of the holder and of the table over the duration of the lease.
   */
  readonly marginMs: number
  readonly renewMs: number
  readonly pollMs: number
  /** Delay between a failed call and the next. */
  readonly retryMs: number
}

/** With these limits a new holder takes over within 9 seconds after the previous one crashed. */
export const defaultLeaseLimits: LeaseLimits = {
  durationMs: 6_000,
  marginMs: 1_000,
  renewMs: 1_500,
  pollMs: 1_000,
  retryMs: 250
}

/** Manages the lease of one role for one process. */
export interface LeaseDecider {
  handle (event: LeaseEvent, now: Instant): readonly LeaseAction[]
  /**
   * Whether this process may act in the role now. Must be checked again after every wait.
   * @param now - both clocks, read just before acting
   */
  mayAct (now: Instant): boolean
  /** Fencing number of the role while this process holds it. */
  fencing (): number | undefined
  /**
   * Precondition that every transaction under the lease must include; undefined when this
   * process may not act.
   * @param now - both clocks, read just before acting
   */
  leaseCheck (now: Instant): LeaseRowCheck | undefined
  /** Holder id of this process. */
  holder (): HolderId
}
