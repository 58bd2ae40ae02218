/**
 * The users' target and what follows from it for one VM, in one place for all probes.
 */

const SECONDS_PER_DAY = 86_400
/** Milliseconds between two tokens at the target. */
const TOKEN_MS = 78
const MS_PER_SECOND = 1_000

/** Sizes of the target. */
export const target = {
  vms: 360,
  runners: 600,
  models: 27,
  teams: 8_100,
  budgets: 520_000,
  requestsPerSecond: 3_700,
  tokensPerSecond: 830_000,
  changesPerDay: 1_700,
  restartsPerDay: 190
} as const

/** Shares of one VM, and rates. */
export const perVm = {
  requestsPerSecond: target.requestsPerSecond / target.vms,
  tokensPerSecond: target.tokensPerSecond / target.vms,
  /** Streams open at once when each gives a token every 78 ms. */
  openStreams: target.tokensPerSecond / target.vms * TOKEN_MS / MS_PER_SECOND,
  changesPerSecond: target.changesPerDay / SECONDS_PER_DAY
} as const
