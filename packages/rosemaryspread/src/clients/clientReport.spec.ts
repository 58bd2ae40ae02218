/** Guards against a log that clients fill by having their connections closed. */
import { expect } from 'chai'
import { ClientReport } from './clientReport.js'

/** Times in milliseconds at which a connection is closed, with the server, and the lines written. */
const cases: ReadonlyArray<{ readonly name: string, readonly closed: ReadonlyArray<readonly [mono: number, server: string]>, readonly lines: readonly string[] }> = [
  { name: 'writes a line for the first connection', closed: [[0, 'ready']], lines: ['ready 1'] },
  { name: 'writes one line a second and counts those between', closed: [[0, 'ready'], [1, 'ready'], [999, 'ready'], [1_000, 'ready']], lines: ['ready 1', 'ready 3'] },
  { name: 'counts servers apart', closed: [[0, 'ready'], [1, 'ingress']], lines: ['ready 1', 'ingress 1'] }
]

describe('ClientReport', () => {
  for (const { name, closed, lines } of cases) {
    it(name, () => {
      let mono = 0
      let counted = 0
      const written: string[] = []
      const report = new ClientReport({ now: () => ({ mono, wall: 0 }) }, { write: (_event, fields) => { written.push(`${String(fields.server)} ${String(fields.closed)}`) } }, { count: () => { counted += 1 } })
      for (const [at, server] of closed) {
        mono = at
        report.closed(server, 'sentAhead')
      }
      expect({ written, counted }).to.deep.equal({ written: lines, counted: closed.length })
    })
  }
})
