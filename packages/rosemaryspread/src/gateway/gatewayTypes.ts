/**
 * What the gateway takes from its edge, and the targets that it knows.
 */
import type { TargetProcess, TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { AvailableTargets } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { OpaqueCall } from './callTypes.js'

/** One part of a prompt, in the order of the prompt. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** A request of a caller, as the edge decoded it. */
export interface GatewayCall extends OpaqueCall {
  readonly host: string
  readonly key: string | undefined
  /** Milliseconds that the caller waits, from `receivedAt`. */
  readonly timeoutMs: number | undefined
  readonly promptParts: readonly PromptPart[]
}

/** Targets of each service. */
export interface TargetDirectory {
  available (service: string): AvailableTargets
  /** Whether a service has targets that would take new work, all of them in evacuated failure domains. */
  isEvacuated (service: string): boolean
  /**
   * Takes what a target said of itself with an answer.
   * @param process - the process that answered
   * @param report - what it said
   */
  reported (process: TargetProcess, report: TargetReport): void
}
