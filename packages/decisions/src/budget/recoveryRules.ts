/**
 * Decides when a holder counts as terminated. Only three facts prove it: the platform's VM list reports that the VM was
 * terminated after the holder registered, a later process listens on its addresses, or its allotment expired, so that it may
 * not spend.
 */
import { vmOf } from '../names/nameTypes.js'
import type { BudgetPolicy } from './budgetPolicy.js'

/** Time for which engines retain the record of an ended run. */
export const RUN_RETENTION_MS = 7_200_000
/** Minimum age difference between a registration and a VM list, as the clocks of the two platform services differ. */
export const LIST_CLOCK_MARGIN_MS = 10_000

export interface RegisteredHolder {
  readonly holder: string
  readonly domain: string
  /** Table clock in milliseconds. */
  readonly registeredAt: number
}

/** Latest time of an entry `gone` in the platform's list, by VM. */
export class TerminatedVms {
  private readonly terminatedAt = new Map<string, number>()

  /**
   * Records one answer of the list.
   * @param asOf - platform clock in milliseconds at which the list was valid
   */
  record (asOf: number, vms: ReadonlyArray<{ readonly vm: string, readonly state: string }>): void {
    for (const { vm, state } of vms) {
      if (state === 'gone') this.terminatedAt.set(vm, Math.max(asOf, this.terminatedAt.get(vm) ?? 0))
    }
  }

  /** Whether the platform terminated the VM of a holder after the holder registered. */
  proves (holder: RegisteredHolder): boolean {
    const terminatedAt = this.terminatedAt.get(vmOf(holder.holder))
    return terminatedAt !== undefined && terminatedAt > holder.registeredAt + LIST_CLOCK_MARGIN_MS
  }
}

/**
 * Whether an allotment expired, so that its holder may not spend from it.
 * @param ageMs - milliseconds since the last write of its row, by the table clock
 */
export function hasExpired (policy: BudgetPolicy, ageMs: number): boolean {
  return ageMs > policy.allotmentExpiryMs + policy.marginMs
}

/**
 * Whether engines may have discarded the records of runs that the holder had not billed.
 * @param contactAgeMs - milliseconds since the last write by the holder
 */
export function mayRunsBeDiscarded (policy: BudgetPolicy, contactAgeMs: number): boolean {
  return contactAgeMs > RUN_RETENTION_MS - policy.marginMs
}

/** A holder with the addresses on which it listens. */
export interface PlacedHolder {
  readonly holder: string
  readonly place: string
  /** Table clock in milliseconds at which the process had certainly started and no earlier process of its VM was running. */
  readonly since: number
}

/**
 * Whether a later process of the same VM listens on the addresses of a holder. Two processes cannot listen on one address of a
 * system, not even while one is paused.
 */
export function hasSuccessor (holder: string, placed: readonly PlacedHolder[]): boolean {
  return successorSince(holder, placed) !== undefined
}

/**
 * Table clock in milliseconds at which the first later process of the same VM listened on the addresses of a holder;
 * undefined if there is none.
 */
export function successorSince (holder: string, placed: readonly PlacedHolder[]): number | undefined {
  const placement = placed.find(item => item.holder === holder)
  if (placement === undefined) return undefined
  const later = placed
    .filter(other => other.holder !== holder && vmOf(other.holder) === vmOf(holder) && other.place === placement.place && other.since > placement.since)
    .map(other => other.since)
  return later.length === 0 ? undefined : Math.min(...later)
}
