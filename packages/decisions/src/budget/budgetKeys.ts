/**
 * Names of the tables and keys in which budgets are kept.
 */
import type { HolderId } from '../names/nameTypes.js'

/** Tables of the budget rows. */
export const budgetTables = {
  budgets: 'budgets',
  allotments: 'allotments',
  /** Index `<holder>/<budget>` of allotments, so that recovery finds what an ended holder held. */
  holdings: 'holdings',
  /** Rows `<domain>/<holder>`: every process that may hold tokens. */
  holders: 'holders',
  /** Rows `<holder>`: where the process listens, so that its successor there proves its end. */
  places: 'places',
  segments: 'segments',
  topUps: 'topups',
  transfers: 'transfers'
} as const

/**
 * Key of the index row of an allotment.
 * @param holder - holder id
 * @param budget - budget id
 */
export function holdingKey (holder: HolderId, budget: string): string {
  return `${holder}/${budget}`
}

/**
 * Key of the register row of a holder.
 * @param domain - its failure domain
 * @param holder - holder id
 */
export function holderKey (domain: string, holder: HolderId): string {
  return `${domain}/${holder}`
}

const SEQ_DIGITS = 12

/**
 * Key of an allotment row.
 * @param budget - budget id
 * @param holder - holder id
 */
export function allotmentKey (budget: string, holder: HolderId): string {
  return `${budget}/${holder}`
}

/**
 * Whether a row is an allotment of a holder; while the holder lives, nobody else writes it.
 * @param row - table and key
 * @param holder - holder id
 */
export function isOwnAllotment ({ table, key }: { readonly table: string, readonly key: string }, holder: HolderId): boolean {
  return table === budgetTables.allotments && key.endsWith(`/${holder}`)
}

/**
 * Key of a segment row; keys of one holder sort by number.
 * @param holder - holder id
 * @param seq - number of the segment
 */
export function segmentKey (holder: HolderId, seq: number): string {
  return `${holder}/${String(seq).padStart(SEQ_DIGITS, '0')}`
}

/**
 * Key of the segment that a recovery writes; sorts after all numbered ones.
 * @param holder - the ended holder
 * @param budget - budget id
 * @param version - version of the allotment row that was closed
 */
export function recoveredSegmentKey (holder: HolderId, budget: string, version: number): string {
  return `${holder}/recovered-${budget}-${version}`
}
