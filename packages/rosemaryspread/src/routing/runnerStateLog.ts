/**
 * Writes a log line whenever this VM's view of a runner changes its state.
 */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { RunnerStatus } from '@rosemaryspread/decisions/routing/routingTypes.js'

/** Remembers the state of each runner as it was logged last. */
export class RunnerStateLog {
  private logged: ReadonlyMap<string, RunnerStatus['state']> = new Map()

  constructor (private readonly log: EventLog) {}

  /**
   * Compares with the last call; a runner that is seen for the first time counts as active before.
   * @param standings - all runners now
   */
  check (standings: readonly RunnerStatus[]): void {
    for (const { runner, state, reason } of standings) {
      if (state !== (this.logged.get(runner) ?? 'active')) this.log.write('runnerState', { runner, state, reason })
    }
    this.logged = new Map(standings.map(({ runner, state }) => [runner, state]))
  }
}
