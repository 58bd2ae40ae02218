/**
 * Leases of roles as the decider sees them. Two rows stand for one role. `leases/<role>` is
 * written at each renewal. `fences/<role>` is written only when the role changes hands, so
 * writes under the lease can check its version without a conflict with a renewal under way.
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
  /** Rises at each change of hands. */
  fencing: z.number().int().positive(),
  /** Milliseconds of the table's clock for which the lease runs from the row's last write. */
  durationMs: z.number().int().positive(),
  /** Number of the holder's write, by which a lost answer is resolved. */
  renewal: count,
  /** The holder gave the role up; anyone may take it at once. */
  released: z.boolean()
})
export type LeaseRow = z.infer<typeof leaseRowSchema>

/** Row `fences/<role>`. */
export const fenceRowSchema = z.object({ role: z.string(), holder: z.string(), fencing: z.number().int().positive() })
export type FenceRow = z.infer<typeof fenceRowSchema>

/** Condition on a row of the table: its version, or null when it must not exist. */
export interface LeaseRowCheck {
  readonly table: string
  readonly key: string
  readonly version: number | null
}

/** New value of a row of the table. */
export interface LeaseRowWrite {
  readonly table: string
  readonly key: string
  readonly value: LeaseRow | FenceRow
}

/** Both rows as read; `ageMs` by the table's own clock. */
export interface ReadLease {
  readonly lease: { readonly row: LeaseRow, readonly version: number, readonly ageMs: number } | null
  readonly fence: { readonly row: FenceRow, readonly version: number } | null
}

/** How a write ended; `version` is that of every row written. */
export type LeaseWriteOutcome =
  | { readonly kind: 'written', readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' }

/** What the keeper is told. */
export type LeaseEvent =
  | { readonly kind: 'tick' }
  /** Whether this process should try to hold the role; a role held is kept all the same. */
  | { readonly kind: 'candidate', readonly wanted: boolean }
  | { readonly kind: 'readAnswered', readonly read: ReadLease }
  | { readonly kind: 'readFailed' }
  | { readonly kind: 'writeAnswered', readonly outcome: LeaseWriteOutcome }
  /** A write under the lease met a conflict: the rows have to be read. */
  | { readonly kind: 'doubt' }
  /** Give the role up for good; `released` follows. */
  | { readonly kind: 'release' }

/** What the shell has to do; at most one read or write is under way. */
export type LeaseAction =
  | { readonly kind: 'read' }
  | { readonly kind: 'write', readonly checks: readonly LeaseRowCheck[], readonly writes: readonly LeaseRowWrite[] }
  | { readonly kind: 'taken', readonly fencing: number }
  | { readonly kind: 'lost', readonly fencing: number }
  | { readonly kind: 'released' }

/** Times in milliseconds. */
export interface LeaseLimits {
  readonly durationMs: number
  /**
   * Taken off the holder's end of the lease and added to every other's. It must exceed what
   * the clocks of the holder and of the table can drift apart within the lease's duration.
   */
  readonly marginMs: number
  readonly renewMs: number
  readonly pollMs: number
  /** Between a failed call and the next. */
  readonly retryMs: number
}

/** Limits of the daemon: a new holder within nine seconds of a holder's death. */
export const defaultLeaseLimits: LeaseLimits = {
  durationMs: 6_000,
  marginMs: 1_000,
  renewMs: 1_500,
  pollMs: 1_000,
  retryMs: 250
}

/** Decides about one role for one process. */
export interface LeaseDecider {
  handle (event: LeaseEvent, now: Instant): readonly LeaseAction[]
  /**
   * Whether this process may act in the role at this moment. To be asked anew after every wait.
   * @param now - both clocks, read just before the act
   */
  mayAct (now: Instant): boolean
  /** Fencing number of the role while this process holds it. */
  fencing (): number | undefined
  /**
   * The condition that every transaction under the lease has to carry; undefined when this
   * process may not act.
   * @param now - both clocks, read just before the act
   */
  leaseCheck (now: Instant): LeaseRowCheck | undefined
  holder (): HolderId
}
