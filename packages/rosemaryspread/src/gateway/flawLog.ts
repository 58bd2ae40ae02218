/**
 * Logs what targets tell that cannot be read. They repeat it with each heartbeat or answer, so it is logged
 * once for each target.
 */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'

/** Flaws of one source. */
export class FlawLog {
  private readonly noted = new Set<string>()

  /**
   * @param log - the log
   * @param source - where it was told
   */
  constructor (private readonly log: EventLog, private readonly source: string) {}

  /**
   * Notes a flaw.
   * @param id - id of the target
   * @param detail - what cannot be read
   */
  note (id: string, detail: string): void {
    if (this.noted.has(id)) return
    this.noted.add(id)
    this.log.write('platformFault', { service: this.source, operation: 'decode', code: id, detail })
  }

  /**
   * Forgets targets that are not listed any more.
   * @param isListed - whether a target is listed
   */
  forget (isListed: (id: string) => boolean): void {
    for (const id of this.noted) if (!isListed(id)) this.noted.delete(id)
  }
}
