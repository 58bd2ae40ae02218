/** What the rows of a lease say: whose it is, and whether it may be taken. */
import type { HolderId } from '../names/nameTypes.js'
import type { FenceRow, LeaseRow, ReadLease } from './leaseTypes.js'

/**
 * Whether both rows name a holder that has not given the lease up.
 * @param lease - the lease row
 * @param fence - the fence row
 * @param holder - holder id
 */
export function isHeldBy (lease: LeaseRow, fence: FenceRow, holder: HolderId): boolean {
  return lease.holder === holder && !lease.released && fence.holder === holder && fence.fencing === lease.fencing
}

/**
 * Whether the lease may be taken: it was never taken, was given up, or ended by the table's clock.
 * @param read - the rows
 * @param marginMs - milliseconds to wait after its end
 */
export function isFree (read: ReadLease, marginMs: number): boolean {
  if (read.lease === null || read.lease.row.released) return true
  return read.lease.ageMs > read.lease.row.durationMs + marginMs
}
