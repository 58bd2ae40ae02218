/**
 * A heartbeat that names a higher version triggers a refresh from the table, at a bounded rate.
 */
import { expect } from 'chai'
import { VersionHints } from './configHints.js'

const cases = [
  { name: 'a higher version', inForce: 3, advertised: [{ at: 0, version: 4 }], refreshes: 1 },
  { name: 'the first version', inForce: undefined, advertised: [{ at: 0, version: 0 }], refreshes: 1 },
  { name: 'the version in force', inForce: 3, advertised: [{ at: 0, version: 3 }], refreshes: 0 },
  { name: 'an older version', inForce: 3, advertised: [{ at: 0, version: 2 }], refreshes: 0 },
  { name: 'many heartbeats at once', inForce: 3, advertised: [0, 1, 2, 3].map(at => ({ at, version: 4 })), refreshes: 1 },
  { name: 'a higher version that cannot be fetched', inForce: 3, advertised: [0, 1_000, 2_000].map(at => ({ at, version: 4 })), refreshes: 3 }
]

describe('version hints from heartbeats', () => {
  for (const { name, inForce, advertised, refreshes } of cases) {
    it(`trigger ${refreshes} refreshes for ${name}`, () => {
      let mono = 0
      let refreshed = 0
      const hints = new VersionHints({ now: () => ({ mono, wall: mono }) }, () => inForce)
      hints.onHint(() => { refreshed += 1 })
      advertised.forEach(({ at, version }) => {
        mono = at
        hints.onAdvertised(version)
      })
      expect(refreshed).to.equal(refreshes)
    })
  }
})
