/**
 * When a holder counts as ended. Only three things prove it: the platform's list says that it ended
 * the VM after this holder had registered, a later process listens in its place, or its allotment
 * lapsed, so that it may not spend.
 */
import { vmOf } from '../names/nameTypes.js'
import type { BudgetPolicy } from './budgetPolicy.js'

/** Milliseconds for which engines keep the record of an ended run. */
export const RUN_RETENTION_MS = 7_200_000
/** How much later than a registration the list has to be, for clocks of two platform services that differ. */
export const LIST_MARGIN_MS = 10_000

/** A holder by its registration row. */
export interface RegisteredHolder {
  readonly holder: string
  readonly domain: string
  /** Table milliseconds of the registration. */
  readonly registeredAt: number
}

/** Times of the last entries `gone` in the platform's list, by VM. */
export class GoneVms {
  private readonly goneAt = new Map<string, number>()

  /**
   * Takes one answer of the list.
   * @param asOf - platform milliseconds for which it held
   * @param vms - its entries
   */
  note (asOf: number, vms: ReadonlyArray<{ readonly vm: string, readonly state: string }>): void {
    for (const { vm, state } of vms) {
      if (state === 'gone') this.goneAt.set(vm, Math.max(asOf, this.goneAt.get(vm) ?? 0))
    }
  }

  /**
   * Whether the platform ended the VM of a holder after it registered.
   * @param holder - the holder
   */
  proves (holder: RegisteredHolder): boolean {
    const goneAt = this.goneAt.get(vmOf(holder.holder))
    return goneAt !== undefined && goneAt > holder.registeredAt + LIST_MARGIN_MS
  }
}

/**
 * Whether an allotment lapsed, so that its holder may not spend from it any more.
 * @param policy - the policy of all holders
 * @param ageMs - milliseconds since its row was last written, by the table's clock
 */
export function hasLapsed (policy: BudgetPolicy, ageMs: number): boolean {
  return ageMs > policy.lapseMs + policy.marginMs
}

/**
 * Whether engines may have forgotten runs that the holder had not billed.
 * @param policy - the policy of all holders
 * @param contactAgeMs - milliseconds since the holder's last own write
 */
export function mayBeForgotten (policy: BudgetPolicy, contactAgeMs: number): boolean {
  return contactAgeMs > RUN_RETENTION_MS - policy.marginMs
}

/** Where a holder listens, and since when. */
export interface PlacedHolder {
  readonly holder: string
  readonly place: string
  /** Table milliseconds at which its process had certainly begun: no earlier process of its VM ran any more. */
  readonly since: number
}

/**
 * Whether a later process of the same VM listens in the place of a holder. Two processes cannot
 * listen on one address of one system, not even when one of them is paused.
 * @param holder - the holder
 * @param placed - all holders with their places
 */
export function isSucceeded (holder: string, placed: readonly PlacedHolder[]): boolean {
  return succeededAt(holder, placed) !== undefined
}

/**
 * Table milliseconds at which the first later process of the same VM listened in the place of a
 * holder; undefined when none does.
 * @param holder - the holder
 * @param placed - all holders with their places
 */
export function succeededAt (holder: string, placed: readonly PlacedHolder[]): number | undefined {
  const own = placed.find(item => item.holder === holder)
  if (own === undefined) return undefined
  const later = placed
    .filter(other => other.holder !== holder && vmOf(other.holder) === vmOf(holder) && other.place === own.place && other.since > own.since)
    .map(other => other.since)
  return later.length === 0 ? undefined : Math.min(...later)
}
