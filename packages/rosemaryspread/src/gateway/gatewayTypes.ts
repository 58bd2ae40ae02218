/**
 * Types at the boundary of the gateway: calls as the ingress decodes them, and the directory of targets.
 */
import type { TargetProcess, TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { AvailableTargets } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { OpaqueCall } from './callTypes.js'

/** One part of a prompt, in prompt order. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** A request of a caller as decoded by the ingress. */
export interface GatewayCall extends OpaqueCall {
  readonly host: string
  readonly key: string | undefined
  /** Milliseconds that the caller waits, counted from `receivedAt`. */
  readonly timeoutMs: number | undefined
  readonly promptParts: readonly PromptPart[]
}

/** Targets by service. */
export interface TargetDirectory {
  /** Targets of a service that accept new work, and the remaining pauses of those that paused this VM. */
  available (service: string): AvailableTargets
  /** Whether a service has targets that would accept new work, all of them in evacuated failure domains. */
  isEvacuated (service: string): boolean
  /**
   * Records the state that a target sent with an answer.
   * @param process - the process that answered
   */
  recordReport (process: TargetProcess, report: TargetReport): void
}
