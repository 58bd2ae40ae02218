/**
 * What one holder keeps of one budget besides amounts: requests that wait, the search for tokens, and how it last ended.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { ReportBound } from './reportBound.js'

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly reservationId: string
  readonly tokens: number
  readonly since: Instant
  readonly giveUpAfterMs: number
}

/** Where the tokens of a reservation come from. */
export interface ReservedTokens {
  /** Tokens of the allotment. */
  readonly own: number
  /** Tokens that other holders gave. */
  readonly given: number
}

/** Why tokens could not be had, as of the last try. */
export type Shortage =
  | { readonly kind: 'unavailable' | 'unknownBudget' }
  | { readonly kind: 'short', readonly unspent: number }

/** One step of a search for tokens. */
export type RoundStage = 'draw' | 'give' | 'recall' | 'redraw'

/** The present step; `operationId` is set once its action was emitted. */
export interface Round {
  readonly stage: RoundStage
  readonly operationId?: string
}

/** A draw whose outcome is open; kept under one id until the table says what became of it. */
export interface OpenDraw {
  readonly drawId: string
  readonly inFlight: boolean
  /** Whether requests wait for it, so that it must not wait for other draws. */
  readonly isUrgent: boolean
  readonly since: Instant
  /** Bound that a new allotment row gets; the same for every try. */
  readonly report?: ReportBound
}
