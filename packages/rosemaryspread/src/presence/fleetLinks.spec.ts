/**
 * Links between the VMs of a fleet: creation of the shared key, and calls before and after the links
 * are open.
 */
import { expect } from 'chai'
import { FixtureTable } from '../membership/membershipTable.fixture.js'
import { fleetKey } from './fleetKey.js'
import { FleetLinks } from './fleetLinks.js'

const clock = { now: () => ({ mono: performance.now(), wall: 0 }) }
const log = { write: () => {} }

function createLinks (holder: string, table: FixtureTable, address: string | undefined): FleetLinks {
  const links = new FleetLinks({ holder, address, table, clock, log, random: () => 0.5, onUnresponsive: () => {} })
  links.serve('echo', async (params, from) => ({ params, from }))
  return links
}

describe('fleetKey', () => {
  it('is created once and then read', async () => {
    const table = new FixtureTable()
    const keys = [await fleetKey(table), await fleetKey(table)].map(key => key.extract())
    expect(keys[0]).to.be.a('string').and.equal(keys[1])
  })

  it('is created by one VM when two try concurrently', async () => {
    const table = new FixtureTable()
    const both = await Promise.all([fleetKey(table), fleetKey(table)])
    expect(both.map(key => key.isRight())).to.deep.equal([true, false])
  })

  it('fails while the table is unavailable', async () => {
    const table = new FixtureTable()
    table.down = true
    expect((await fleetKey(table)).extract()).to.include({ code: 'platformUnavailable' })
  })
})

describe('FleetLinks', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly opens: boolean, readonly key?: string, readonly answered: boolean }> = [
    { name: 'carry calls between VMs with the same key', opens: true, answered: true },
    { name: 'refuse a VM with a different key', opens: true, key: 'another', answered: false },
    { name: 'fail calls until they are open', opens: false, answered: false }
  ]
  for (const { name, opens, key, answered } of cases) {
    it(name, async () => {
      const table = new FixtureTable()
      const other = new FixtureTable()
      if (key !== undefined) await other.transact({ checks: [], writes: [{ table: 'keys', key: 'peers', value: { secret: key } }] })
      const callee = createLinks('vm1~a', table, '127.0.0.1:0')
      const caller = createLinks('vm2~a', key === undefined ? table : other, '127.0.0.1:0')
      await callee.open()
      const address = callee.listening ?? ''
      if (opens) await caller.open()
      const answer = await caller.call(address, 'echo', 7, 500)
      await Promise.all([callee.close(), caller.close()])
      expect(answer.map(value => value).orDefault(undefined)).to.deep.equal(answered ? { params: 7, from: 'vm2~a' } : undefined)
    })
  }

  it('wait for the key while the table is unavailable, and stop waiting when closed', async () => {
    const table = new FixtureTable()
    table.down = true
    const links = createLinks('vm1~a', table, '127.0.0.1:0')
    const opened = links.open()
    await links.close()
    await opened
    expect((await links.call('127.0.0.1:1', 'echo', 1, 100)).isLeft()).to.equal(true)
  })
})
