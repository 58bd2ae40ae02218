/**
 * Logger that discards everything. Restify requires a logger, but the server writes its own numbered events.
 */
const discard = (): boolean => false

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
