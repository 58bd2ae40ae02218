/**
 * The runner list of the admin API: the state observed by the VM that answers, or else the configured state.
 */
import { expect } from 'chai'
import { Just } from 'purify-ts'
import { fleetConfigSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import type { RunnerStatus } from '@rosemaryspread/decisions/routing/routingTypes.js'
import { FleetAdminService, type AdminDeps } from './adminService.js'

const location = { address: '10.0.0.1:1', domain: 'd1' }
const config = fleetConfigSchema.parse({
  models: { m: { maxTokens: 8 } },
  runners: { r1: { ...location, models: ['m'], state: 'leaving' } },
  services: { bookings: { runners: { app1: location } } }
})

describe('FleetAdminService.runners', () => {
  const ejected: RunnerStatus = { runner: 'r1', state: 'ejected', reason: 'consecutive failures', inFlight: 2, reportAgeMs: 900 }
  const cases: ReadonlyArray<{ readonly name: string, readonly statuses: readonly RunnerStatus[], readonly expected: object }> = [
    { name: 'the state observed by this VM', statuses: [ejected], expected: { ...ejected, kind: 'model', ...location } },
    { name: 'the configured state of a runner that is missing from the router', statuses: [], expected: { runner: 'r1', state: 'leaving', inFlight: 0, kind: 'model', ...location } },
    { name: 'no runner that was removed from the configuration', statuses: [{ ...ejected, runner: 'old' }], expected: { runner: 'r1', state: 'leaving', inFlight: 0, kind: 'model', ...location } }
  ]
  for (const { name, statuses, expected } of cases) {
    it(`shows ${name}`, async () => {
      const current = { current: () => Just({ version: 1, config }) }
      const deps = { current, runnerStates: () => statuses, serviceInFlight: () => 3 } as unknown as AdminDeps
      const runners = (await new FleetAdminService(deps).runners()).extract()
      expect(runners).to.deep.equal([expected, { runner: 'app1', state: 'active', inFlight: 3, kind: 'application', ...location }])
    })
  }
})
