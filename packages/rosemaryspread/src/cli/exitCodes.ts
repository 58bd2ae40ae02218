/**
 * Exit codes of the binary `rosemaryspread`; docs/SETTINGS.md lists them.
 */

export const exitCodes = {
  ok: 0,
  fault: 1,
  usage: 2,
  settingsInvalid: 3,
  listenFailed: 4,
  drainTimeout: 5
} as const
