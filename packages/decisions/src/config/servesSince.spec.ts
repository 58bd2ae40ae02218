/**
 * A runner counts as new for a model from the patch that added the model to it.
 */
import { expect } from 'chai'
import { fleetConfigSchema, type FleetConfig } from './configSchema.js'
import { stampServesSince } from './servesSince.js'

function configOf (runners: Record<string, object>): FleetConfig {
  return fleetConfigSchema.parse({ runners })
}

const before = stampServesSince(configOf({}), configOf({ r1: { address: '10.0.0.1:1', domain: 'd', models: ['a'] } }), 100)

const cases: ReadonlyArray<{ readonly name: string, readonly runners: Record<string, object>, readonly expected: object }> = [
  { name: 'an unchanged runner', runners: { r1: { address: '10.0.0.1:1', domain: 'd', models: ['a'] } }, expected: { r1: { a: 100 } } },
  { name: 'a model added to a runner', runners: { r1: { address: '10.0.0.1:1', domain: 'd', models: ['a', 'b'] } }, expected: { r1: { a: 100, b: 200 } } },
  { name: 'a model removed from a runner', runners: { r1: { address: '10.0.0.1:1', domain: 'd', models: [] } }, expected: { r1: {} } },
  { name: 'a new runner', runners: { r2: { address: '10.0.0.2:1', domain: 'd', models: ['a'] } }, expected: { r2: { a: 200 } } },
  { name: 'another process under the same id', runners: { r1: { address: '10.0.0.9:1', domain: 'd', models: ['a'] } }, expected: { r1: { a: 200 } } },
  { name: 'a time set by the patch', runners: { r1: { address: '10.0.0.1:1', domain: 'd', models: ['a'], servesSince: { a: 1 } } }, expected: { r1: { a: 100 } } }
]

describe('start times of serving, by runner and model', () => {
  for (const { name, runners, expected } of cases) {
    it(`are set for ${name}`, () => {
      const after = stampServesSince(before, configOf(runners), 200)
      expect(Object.fromEntries(Object.entries(after.runners).map(([id, { servesSince }]) => [id, servesSince]))).to.deep.equal(expected)
    })
  }
})
