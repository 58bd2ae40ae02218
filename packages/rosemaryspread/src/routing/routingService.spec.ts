/** A runner that refuses a request as it is leaving must not get the next one. */
import { expect } from 'chai'
import { fleetConfigSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import { PollSchedule } from '@rosemaryspread/decisions/routing/pollSchedule.js'
import { RetryBudget } from '@rosemaryspread/decisions/routing/retryBudget.js'
import { RunnerRouter } from '@rosemaryspread/decisions/routing/runnerRouter.js'
import { admittedCompletion } from './admittedCompletion.fixture.js'
import { RoutingService } from './routingService.js'

const config = fleetConfigSchema.parse({
  models: { m: { maxTokens: 8 } },
  runners: Object.fromEntries(['r1', 'r2'].map(name => [name, { address: `10.0.0.1:${name.length}`, domain: 'd', slots: 4, models: ['m'] }]))
})
const now = { mono: 0, wall: 0 }

describe('RoutingService', () => {
  for (const isReported of [false, true]) {
    it(`${isReported ? 'avoids' : 'uses'} a runner that ${isReported ? 'reported' : 'did not report'} that it is leaving`, async () => {
      let draw = 0
      const routing = new RoutingService({
        decider: new RunnerRouter('v', 'd'),
        vms: () => 1,
        retries: new RetryBudget(() => ({ share: 1, perSecond: 1, burst: 1, attempts: 1, baseMs: 1, maxMs: 1 })),
        polls: new PollSchedule(1_000),
        clock: { now: () => now },
        random: { next: () => (draw += 0.37) % 1, id: () => 'id' },
        log: { write: () => {} }
      })
      routing.configure(config)
      const used = new Set<string>()
      for (let i = 0; i < 12; i += 1) {
        const { run, choice } = (await routing.route(admittedCompletion(`q${i}`), [], new AbortController().signal)).unsafeCoerce()
        used.add(choice.runner)
        if (isReported && choice.runner === 'r1') run.leaving()
        run.ended(true, 0)
      }
      const state = routing.states().find(({ runner }) => runner === 'r1')?.state
      expect(state).to.equal(isReported ? 'leaving' : 'active')
      used.clear()
      for (let i = 0; i < 12; i += 1) {
        const { run, choice } = (await routing.route(admittedCompletion(`p${i}`), [], new AbortController().signal)).unsafeCoerce()
        used.add(choice.runner)
        run.ended(true, 0)
      }
      expect([...used].sort()).to.deep.equal(isReported ? ['r2'] : ['r1', 'r2'])
    })
  }
})
