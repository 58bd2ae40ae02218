/** Logs each change of the state of a runner as seen by this VM. */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { RunnerStatus } from '@rosemaryspread/decisions/routing/routingTypes.js'

export class RunnerStateLog {
  private logged: ReadonlyMap<string, RunnerStatus['state']> = new Map()

  constructor (private readonly log: EventLog) {}

  /**
   * Logs the changes since the previous call; a new runner counts as active before.
   * @param statuses - all runners
   */
  check (statuses: readonly RunnerStatus[]): void {
    for (const { runner, state, reason } of statuses) {
      if (state !== (this.logged.get(runner) ?? 'active')) this.log.write('runnerState', { runner, state, reason })
    }
    this.logged = new Map(statuses.map(({ runner, state }) => [runner, state]))
  }
}
