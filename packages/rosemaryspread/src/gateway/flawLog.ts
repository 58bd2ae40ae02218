/**
 * Logs malformed values that targets send. A target repeats them with each heartbeat or answer, so only the
 * first one of each target is logged.
 */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'

/** Malformed values of one source. */
export class FlawLog {
  private readonly noted = new Set<string>()

  /** @param source - where the values come from, for the log */
  constructor (private readonly log: EventLog, private readonly source: string) {}

  /**
   * Logs a malformed value unless one of this target was logged.
   * @param id - id of the target
   */
  note (id: string, detail: string): void {
    if (this.noted.has(id)) return
    this.noted.add(id)
    this.log.write('platformFault', { service: this.source, operation: 'decode', code: id, detail })
  }

  /** Drops targets that are no longer listed. */
  forget (isListed: (id: string) => boolean): void {
    for (const id of this.noted) if (!isListed(id)) this.noted.delete(id)
  }
}
