/** Guards against log lines that fill the memory of a process whose standard output nobody reads. */
import { expect } from 'chai'
import { LineWriter } from './lineWriter.js'

const MEGABYTE = 1024 * 1024

interface LineCase {
  readonly name: string
  /** Bytes that wait to be read at each line; undefined as for a file. */
  readonly waiting: ReadonlyArray<number | undefined>
  readonly written: readonly string[]
}

const cases: readonly LineCase[] = [
  { name: 'writes all lines to a file', waiting: [undefined, undefined], written: ['0', '1'] },
  { name: 'writes all lines while few wait', waiting: [0, MEGABYTE], written: ['0', '1'] },
  { name: 'drops lines beyond the bound', waiting: [0, MEGABYTE + 1, 2 * MEGABYTE], written: ['0'] },
  { name: 'says how many were dropped once there is room again', waiting: [MEGABYTE + 1, MEGABYTE + 1, 0, 0], written: ['dropped 2', '2', '3'] }
]

describe('LineWriter', () => {
  for (const { name, waiting, written } of cases) {
    it(name, () => {
      const received: string[] = []
      let writableLength: number | undefined
      const output = { get writableLength () { return writableLength as number }, write: (line: string) => received.push(line) > 0 }
      const lines = new LineWriter(() => output, dropped => `dropped ${dropped}`)
      for (const [index, bytes] of waiting.entries()) {
        writableLength = bytes
        if (lines.hasRoom()) lines.write(String(index))
      }
      expect(received).to.deep.equal(written)
    })
  }
})
