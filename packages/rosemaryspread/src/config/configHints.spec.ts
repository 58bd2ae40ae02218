/**
 * A heartbeat that names a higher version triggers a refresh from the table, at a bounded rate.
 */
import { expect } from 'chai'
import { VersionHints } from './configHints.js'

const cases = [
  { name: 'a higher version', inForce: 3, heard: [{ at: 0, version: 4 }], asks: 1 },
  { name: 'the first version', inForce: undefined, heard: [{ at: 0, version: 0 }], asks: 1 },
  { name: 'the version in force', inForce: 3, heard: [{ at: 0, version: 3 }], asks: 0 },
  { name: 'an older version', inForce: 3, heard: [{ at: 0, version: 2 }], asks: 0 },
  { name: 'many heartbeats at once', inForce: 3, heard: [0, 1, 2, 3].map(at => ({ at, version: 4 })), asks: 1 },
  { name: 'a higher version that cannot be fetched', inForce: 3, heard: [0, 1_000, 2_000].map(at => ({ at, version: 4 })), asks: 3 }
]

describe('version hints from heartbeats', () => {
  for (const { name, inForce, heard, asks } of cases) {
    it(`trigger ${asks} refreshes for ${name}`, () => {
      let mono = 0
      let asked = 0
      const hints = new VersionHints({ now: () => ({ mono, wall: mono }) }, () => inForce)
      hints.onHint(() => { asked += 1 })
      heard.forEach(({ at, version }) => {
        mono = at
        hints.heard(version)
      })
      expect(asked).to.equal(asks)
    })
  }
})
