/**
 * Exit codes of `rosemaryspreadctl`. docs/OPERATORS.md lists them for people.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'

/** The exit codes by name. */
export const exitCodes = {
  /** The command did what was asked. */
  ok: 0,
  /** The program itself failed. */
  fault: 1,
  /** The command line or the patch file is wrong; nothing was sent. */
  usage: 2,
  /** The system refused. */
  refused: 3,
  /** No server could be reached, or every answer was lost. */
  unreachable: 4,
  /** Another change came first, or an id was used for something else. */
  conflict: 5,
  /** The key is missing, not valid, or does not allow this. */
  notAllowed: 6
} as const

/** Name of an exit code. */
export type ExitName = keyof typeof exitCodes

const exitByResult: Partial<Record<ResultName, ExitName>> = {
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

/**
 * The exit code for a failure.
 * @param failure - why the command failed
 */
export function exitCodeOf (failure: Failure): number {
  return exitCodes[exitByResult[failure.code] ?? 'refused']
}
