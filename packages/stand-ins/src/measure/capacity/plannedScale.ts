/**
 * Scale that the users plan for, and the load of one VM that follows from it.
 */

const SECONDS_PER_DAY = 86_400
/** Interval between two tokens of a stream at the planned scale. */
const TOKEN_INTERVAL_MS = 78
const MS_PER_SECOND = 1_000

/** Sizes and rates of the planned fleet. */
export const plannedScale = {
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

/** Load of one VM at the planned scale. */
export const plannedVmLoad = {
  requestsPerSecond: plannedScale.requestsPerSecond / plannedScale.vms,
  tokensPerSecond: plannedScale.tokensPerSecond / plannedScale.vms,
  /** Streams open at once when each yields a token every `TOKEN_INTERVAL_MS` (78 ms). */
  openStreams: plannedScale.tokensPerSecond / plannedScale.vms * TOKEN_INTERVAL_MS / MS_PER_SECOND,
  changesPerSecond: plannedScale.changesPerDay / SECONDS_PER_DAY
} as const
