/**
 * Exit codes of `rosemaryspreadctl`, documented in docs/OPERATORS.md.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'

export const exitCodes = {
  /** The command succeeded. */
  ok: 0,
  /** Internal error of the program. */
  fault: 1,
  /** The command line or the patch file is invalid; nothing was sent. */
  usage: 2,
  /** The server refused the command. */
  refused: 3,
  /** No server could be reached, or all responses were lost. */
  unreachable: 4,
  /** A concurrent change took precedence, or the id was used for a different operation. */
  conflict: 5,
  /** The key is missing, invalid or lacks permission. */
  notAllowed: 6
} as const

export type ExitName = keyof typeof exitCodes

const exitNameByResult: Partial<Record<ResultName, ExitName>> = {
  usage: 'usage',
  peerUnreachable: 'unreachable',
  platformOutcomeUnknown: 'unreachable',
  configConflict: 'conflict',
  patchIdReused: 'conflict',
  topUpConflict: 'conflict',
  platformConflict: 'conflict',
  unauthorized: 'notAllowed',
  forbidden: 'notAllowed'
}

export function exitCodeOf (failure: Failure): number {
  return exitCodes[exitNameByResult[failure.code] ?? 'refused']
}
