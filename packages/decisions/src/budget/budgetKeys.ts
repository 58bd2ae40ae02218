/**
 * Table names and row keys of budgets.
 */
import type { HolderId } from '../names/nameTypes.js'

export const budgetTables = {
  budgets: 'budgets',
  allotments: 'allotments',
  /** Index `<holder>/<budget>` of allotments, by which recovery finds those of a terminated holder. */
  holdings: 'holdings',
  /** Rows `<domain>/<holder>`: every process that may hold tokens. */
  holders: 'holders',
  /** Rows `<holder>`: addresses of the process; a successor on the same ones proves its termination. */
  places: 'places',
  segments: 'segments',
  topUps: 'topups',
  transfers: 'transfers'
} as const

/** Key of the index row of an allotment. */
export function holdingKey (holder: HolderId, budget: string): string {
  return `${holder}/${budget}`
}

/** Key of the registration row of a holder. */
export function holderKey (domain: string, holder: HolderId): string {
  return `${domain}/${holder}`
}

const SEQ_DIGITS = 12

/** Key of an allotment row. */
export function allotmentKey (budget: string, holder: HolderId): string {
  return `${budget}/${holder}`
}

/**
 * Whether a row is an allotment of a holder. Only the holder itself writes it while it runs.
 * @param row - table and key
 */
export function isAllotmentOf ({ table, key }: { readonly table: string, readonly key: string }, holder: HolderId): boolean {
  return table === budgetTables.allotments && key.endsWith(`/${holder}`)
}

/** Key of a segment row; keys of one holder sort by sequence number. */
export function segmentKey (holder: HolderId, seq: number): string {
  return `${holder}/${String(seq).padStart(SEQ_DIGITS, '0')}`
}

/**
 * Key of a segment written by a recovery; sorts after all numbered segments.
 * @param version - version of the budget row at the recovery
 */
export function recoveredSegmentKey (holder: HolderId, budget: string, version: number): string {
  return `${holder}/recovered-${budget}-${version}`
}
