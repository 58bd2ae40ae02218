/**
 * Types for the requests that wait for tokens of one budget at one holder, and for its attempts to acquire tokens.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { ReportBound } from './reportBound.js'

/** A request waiting for tokens. */
export interface WaitingRequest {
  readonly reservationId: string
  readonly tokens: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly since: Instant
  readonly giveUpAfterMs: number
}

/** Tokens of a reservation by source. */
export interface ReservedTokens {
  readonly fromAllotment: number
  /** Tokens granted by other holders. */
  readonly fromGrants: number
}

/** Why the last draw failed. */
export type Shortage =
  | { readonly kind: 'unavailable' | 'unknownBudget' }
  | { readonly kind: 'short', readonly unspent: number }

/** Step of an acquisition round; part of the ids of its operations. */
export type RoundStage = 'draw' | 'give' | 'recall' | 'redraw'

/** Current step of a round; `operationId` is set once its action was emitted. */
export interface AcquisitionRound {
  readonly stage: RoundStage
  readonly operationId?: string
}

/** A draw with unknown outcome, retried under the same id until the table confirms it. */
export interface OpenDraw {
  readonly drawId: string
  readonly inFlight: boolean
  /** Whether requests wait for it, so that it must not be batched with later draws. */
  readonly isUrgent: boolean
  readonly since: Instant
  /** Report bound of a new allotment row; the same for every retry. */
  readonly report?: ReportBound
}
