/** Guards against log lines that differ from those of bunyan, whose format operators' tools read: their fields, the order of these, and values without JSON. */
import bunyan from 'bunyan'
import { expect } from 'chai'
import { logEvents, type LogEventName } from '@rosemaryspread/decisions/events/logEvents.js'
import { BunyanEventLog, type LoggerOptions } from './logger.js'

const OPTIONS: LoggerOptions = { vm: 'vm-1', domain: 'zone-1', holder: 'vm-1~1', level: 'info' }
const TIME = new Date(0)

const cyclic: Record<string, unknown> = { a: 1 }
cyclic.self = cyclic

const cases: ReadonlyArray<{ readonly name: string, readonly event: LogEventName, readonly fields: Readonly<Record<string, unknown>> }> = [
  { name: 'an answer', event: 'requestAnswered', fields: { request: 'r-1', runner: 't', team: undefined, events: 17, totalMs: 420 } },
  { name: 'no fields', event: 'draining', fields: {} },
  { name: 'a field that has the name of a field of bunyan', event: 'requestQuarantined', fields: { digest: 'd', level: 2, by: 'this VM' } },
  { name: 'fields of the logger itself', event: 'started', fields: { vm: 'vm-2', domain: 'zone-2', logLevel: 'info', nested: { a: [1, null] } } },
  { name: 'text that needs escapes', event: 'fault', fields: { err: '"%s"\n\u2028\ud800' } },
  { name: 'an error', event: 'fault', fields: { err: new Error('e') } },
  { name: 'a cycle', event: 'fault', fields: { err: cyclic } }
]

/** A line with the time of {@link TIME}, as the time of a line that no field sets is that of its writing. */
function atTime (line: string): string {
  return line.replace(/"time":"[^"]*"/, `"time":"${TIME.toISOString()}"`)
}

/** Collects what is written to standard output. */
function linesOf (write: () => void): string[] {
  const lines: string[] = []
  const { write: original } = process.stdout
  process.stdout.write = (text: string | Uint8Array) => lines.push(String(text)) > 0
  try {
    write()
  } finally {
    process.stdout.write = original
  }
  return lines
}

describe('BunyanEventLog', () => {
  for (const { name, event, fields } of cases) {
    it(`writes the line of bunyan for ${name}`, () => {
      const { vm, domain, holder } = OPTIONS
      const { level, number, title } = logEvents[event]
      // At the lowest level, as bunyan drops a record whose field `level` is below that of its logger.
      const reference = bunyan.createLogger({ name: 'rosemaryspread', vm, domain, holder, level: 1 })
      for (const time of [{}, { time: TIME }]) {
        const expected = linesOf(() => { reference[level]({ event, number, ...fields, ...time }, title.split('; fields')[0]) })
        expect(expected).to.have.length(1)
        expect(linesOf(() => { new BunyanEventLog(OPTIONS).write(event, { ...fields, ...time }) }).map(atTime)).to.deep.equal(expected.map(atTime))
      }
    })
  }

  it('writes the time at the end of the line if no field has it', () => {
    const [line = ''] = linesOf(() => { new BunyanEventLog(OPTIONS).write('draining', { open: 1 }) })
    expect(line).to.match(/"msg":"The VM started draining","time":"[-0-9T:.]+Z","v":0\}\n$/)
  })

  it('writes nothing below its level', () => {
    expect(linesOf(() => { new BunyanEventLog({ ...OPTIONS, level: 'error' }).write('draining', {}) })).to.deep.equal([])
  })
})
