/** Rules on the rows of a lease: who holds it, and whether it can be acquired. */
import type { HolderId } from '../names/nameTypes.js'
import type { FenceRow, LeaseRow, ReadLease } from './leaseTypes.js'

/** Whether both rows name the holder and it has not released the lease. */
export function isHeldBy (lease: LeaseRow, fence: FenceRow, holder: HolderId): boolean {
  return lease.holder === holder && !lease.released && fence.holder === holder && fence.fencing === lease.fencing
}

/**
 * Whether the lease can be acquired: it was never held, was released, or has expired by the table's clock.
 * @param marginMs - additional time after expiry
 */
export function isAvailable (read: ReadLease, marginMs: number): boolean {
  if (read.lease === null || read.lease.row.released) return true
  return read.lease.ageMs > read.lease.row.durationMs + marginMs
}
