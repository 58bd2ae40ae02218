import { expect } from 'chai'
import { ByteChunks } from './byteChunks.js'
import { EventRelay } from './eventRelay.js'

const LARGE = 5_000
const ONE_BYTE_CHUNKS = 150_000
/** Far more than the time for work that grows with the bytes, far less than for work that grows with their square. */
const MAX_LINEAR_MS = 2_000

describe('ByteChunks', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly sizes: readonly number[], readonly maxBuffers: number }> = [
    { name: 'nothing', sizes: [], maxBuffers: 0 },
    { name: 'empty chunks', sizes: [0, 0], maxBuffers: 0 },
    { name: 'one small chunk', sizes: [3], maxBuffers: 1 },
    { name: 'one large chunk', sizes: [LARGE], maxBuffers: 1 },
    { name: 'large and small chunks in turn', sizes: [1, LARGE, 2, LARGE, 4_000, 4_000, 4_000, 4_000, 4_000, LARGE, 1], maxBuffers: 8 },
    { name: 'chunks of one byte', sizes: Array.from({ length: ONE_BYTE_CHUNKS }, () => 1), maxBuffers: 11 }
  ]
  for (const { name, sizes, maxBuffers } of cases) {
    it(`keeps the bytes of ${name} in order, in few buffers`, () => {
      const chunks = new ByteChunks()
      const sent = sizes.map((size, index) => Buffer.alloc(size, index % 251))
      for (const bytes of sent) chunks.append(bytes)
      expect([chunks.size, chunks.buffers <= maxBuffers]).to.deep.equal([sizes.reduce((sum, size) => sum + size, 0), true])
      expect(chunks.take().equals(Buffer.concat(sent))).to.equal(true)
      chunks.append(Buffer.from('next'))
      expect([chunks.size, chunks.take().toString()]).to.deep.equal([4, 'next'])
    })
  }
})

/** Guards against a VM that is blocked by one large event in small chunks. */
describe('EventRelay, events in chunks of one byte', () => {
  it('reads a large event in a time that grows with its size', () => {
    const relay = new EventRelay()
    const startedAt = performance.now()
    for (let sent = 0; sent < ONE_BYTE_CHUNKS; sent += 1) relay.push(Buffer.from('x'))
    expect(performance.now() - startedAt).to.be.lessThan(MAX_LINEAR_MS)
  })

  for (const end of ['\n\n', '\r\n\r\n', '\n\r\n']) {
    it(`finds each event that ends with ${JSON.stringify(end)}`, () => {
      const text = `id: 1\ndata: a${end}id: 2\ndata: b${end}id: 3`
      for (let size = 1; size <= text.length; size += 1) {
        const relay = new EventRelay()
        let complete = ''
        for (let at = 0; at < text.length; at += size) complete += relay.push(Buffer.from(text.slice(at, at + size))).toString()
        expect([complete, relay.events, relay.lastId, relay.hasPartialEvent]).to.deep.equal([text.slice(0, -5), 2, '2', true])
      }
    })
  }
})
