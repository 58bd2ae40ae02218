/**
 * Event streams must be relayed in complete events and without a changed byte, else a broken stream cannot
 * be resumed.
 */
import { expect } from 'chai'
import { EventRelay } from './eventRelay.js'

interface RelayCase {
  readonly name: string
  readonly pieces: readonly string[]
  readonly relayed: readonly string[]
  readonly events: number
  readonly lastId: string | undefined
  readonly hasPartialEvent: boolean
}

const cases: readonly RelayCase[] = [
  { name: 'one event', pieces: ['id: 1\ndata: a\n\n'], relayed: ['id: 1\ndata: a\n\n'], events: 1, lastId: '1', hasPartialEvent: false },
  { name: 'several events in one chunk', pieces: ['id: 1\ndata: a\n\nid: 2\ndata: b\n\n'], relayed: ['id: 1\ndata: a\n\nid: 2\ndata: b\n\n'], events: 2, lastId: '2', hasPartialEvent: false },
  { name: 'one event in several chunks', pieces: ['id: 1\nda', 'ta: a\n', '\n'], relayed: ['', '', 'id: 1\ndata: a\n\n'], events: 1, lastId: '1', hasPartialEvent: false },
  { name: 'a complete event and an incomplete one', pieces: ['id: 1\ndata: a\n\nid: 2\nda'], relayed: ['id: 1\ndata: a\n\n'], events: 1, lastId: '1', hasPartialEvent: true },
  { name: 'lines that end with CR LF', pieces: ['id: 7\r\ndata: a\r\n\r\n'], relayed: ['id: 7\r\ndata: a\r\n\r\n'], events: 1, lastId: '7', hasPartialEvent: false },
  { name: 'a line before the id', pieces: ['x-versions: 3\nid:4\ndata: a\n\n'], relayed: ['x-versions: 3\nid:4\ndata: a\n\n'], events: 1, lastId: '4', hasPartialEvent: false },
  { name: 'data that contains an id pattern', pieces: ['id: 1\ndata: id: 9\n\n'], relayed: ['id: 1\ndata: id: 9\n\n'], events: 1, lastId: '1', hasPartialEvent: false }
]

describe('EventRelay', () => {
  for (const test of cases) {
    it(test.name, () => {
      const relay = new EventRelay()
      const relayed = test.pieces.map(piece => relay.push(Buffer.from(piece)).toString())
      expect({ relayed, events: relay.events, lastId: relay.lastId, hasPartialEvent: relay.hasPartialEvent })
        .to.deep.equal({ relayed: test.relayed, events: test.events, lastId: test.lastId, hasPartialEvent: test.hasPartialEvent })
    })
  }

  it('discards an incomplete event when the stream breaks', () => {
    const relay = new EventRelay()
    relay.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
    relay.discardPartial()
    expect(relay.push(Buffer.from('id: 2\ndata: b\n\n')).toString()).to.equal('id: 2\ndata: b\n\n')
  })

  it('rejects an event that exceeds the size limit', () => {
    expect(() => new EventRelay().push(Buffer.alloc(2_000_000, 'a'))).to.throw(RangeError)
  })
})
