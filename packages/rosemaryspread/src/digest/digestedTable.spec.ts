/**
 * Entries that a VM publishes after each kind of feed update.
 */
import { expect } from 'chai'
import type { FeedHandler } from '@rosemaryspread/infra/table/tableFeed.js'
import { DigestedTable } from './digestedTable.js'

type FeedUpdate = (feed: FeedHandler<string>) => void

const cases: ReadonlyArray<{ readonly name: string, readonly news: readonly FeedUpdate[], readonly entry: unknown }> = [
  { name: 'a row', news: [feed => { feed.changed([{ key: 'a', value: 'x', version: 1 }]) }], entry: { version: 1, stage: 'present', value: 'x' } },
  { name: 'a row that was deleted', news: [feed => { feed.changed([{ key: 'a', value: null, version: 2 }]) }], entry: { version: 2, stage: 'gone' } },
  { name: 'a row that is missing from a full read', news: [feed => { feed.changed([{ key: 'a', value: 'x', version: 1 }]) }, feed => { feed.replaced([]) }], entry: { version: 1, stage: 'gone' } },
  { name: 'a row that can no longer be decoded', news: [feed => { feed.changed([{ key: 'a', value: 'x', version: 1 }]) }, feed => { feed.undecodable?.('a', new Error('not JSON')) }], entry: { version: 1, stage: 'gone' } },
  { name: 'a row that could never be decoded', news: [feed => { feed.undecodable?.('a', new Error('not JSON')) }], entry: undefined }
]

describe('DigestedTable', () => {
  for (const { name, news, entry } of cases) {
    it(`publishes ${name}`, () => {
      const feeds: Array<FeedHandler<string>> = []
      const table = new DigestedTable<string>({
        name: 't',
        handler: { replaced: () => {}, changed: () => {}, failed: () => {} },
        follow: feed => {
          feeds.push(feed)
          return () => {}
        },
        encode: value => value,
        decode: value => String(value),
        stageOf: () => 'present'
      }, () => 0)
      table.followDirect()
      for (const feed of feeds) for (const update of news) update(feed)
      expect(table.entries().get('a')).to.deep.equal(entry)
    })
  }
})
