/**
 * The logger that restify demands. The server writes its own numbered events, so this one
 * discards everything.
 */
const discard = (): boolean => false

/** A logger without output. */
export const silentLog = {
  level: 'silent',
  trace: discard,
  debug: discard,
  info: discard,
  warn: discard,
  error: discard,
  fatal: discard,
  child: () => silentLog
}
