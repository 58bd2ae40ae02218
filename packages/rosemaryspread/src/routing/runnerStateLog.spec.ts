/** One log line for each state change of a runner, and none while nothing changes. */
import { expect } from 'chai'
import type { RunnerStatus } from '@rosemaryspread/decisions/routing/routingTypes.js'
import { RunnerStateLog } from './runnerStateLog.js'

type State = RunnerStatus['state'] | 'gone'

describe('RunnerStateLog', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly states: readonly State[], readonly lines: readonly string[] }> = [
    { name: 'a runner that stays active', states: ['active', 'active'], lines: [] },
    { name: 'one that is ejected and readmitted', states: ['active', 'ejected', 'ejected', 'active', 'active'], lines: ['ejected', 'active'] },
    { name: 'one that is leaving when first seen', states: ['leaving', 'leaving'], lines: ['leaving'] },
    { name: 'one that leaves while it is ejected', states: ['ejected', 'leaving'], lines: ['ejected', 'leaving'] },
    { name: 'one that loads its model', states: ['notLoaded', 'active'], lines: ['notLoaded', 'active'] },
    { name: 'one that is removed and declared again', states: ['ejected', 'gone', 'active'], lines: ['ejected'] }
  ]
  for (const { name, states, lines } of cases) {
    it(`writes the changes of ${name}`, () => {
      const seen: unknown[] = []
      const log = new RunnerStateLog({ write: (event, { runner, state, reason }) => { seen.push([event, runner, state, reason]) } })
      const other: RunnerStatus = { runner: 'other', state: 'active', reason: 'healthy', inFlight: 0 }
      for (const state of states) log.check(state === 'gone' ? [other] : [other, { runner: 'r0', state, reason: `so ${state}`, inFlight: 0 }])
      expect(seen).to.deep.equal(lines.map(state => ['runnerState', 'r0', state, `so ${state}`]))
    })
  }
})
