/**
 * Logs malformed values that targets send. A target repeats them with each heartbeat or answer, so only the
 * first one of each target is logged.
 */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'

/** Malformed values of one source. */
export class MalformedValueLog {
  private readonly loggedIds = new Set<string>()

  /** @param source - where the values come from, for the log */
  constructor (private readonly log: EventLog, private readonly source: string) {}

  /**
   * Logs a malformed value unless one of this target was logged.
   * @param id - id of the target
   */
  logOnce (id: string, detail: string): void {
    if (this.loggedIds.has(id)) return
    this.loggedIds.add(id)
    this.log.write('platformFault', { service: this.source, operation: 'decode', code: id, detail })
  }

  /** Drops targets that are no longer listed. */
  forgetUnlisted (isListed: (id: string) => boolean): void {
    for (const id of this.loggedIds) if (!isListed(id)) this.loggedIds.delete(id)
  }
}
