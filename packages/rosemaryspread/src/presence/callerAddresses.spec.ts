/**
 * Addresses that a large fleet advertises to callers: at most 64 per answer, chosen by the location and name of the caller. If every
 * caller received all VMs sorted by name and used the first ones, one failure domain would be overloaded and refuse connections.
 */
import { expect } from 'chai'
import { Right } from 'purify-ts'
import type { FeedHandler, FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { directTables } from '../digest/directTables.fixture.js'
import type { PresenceRow } from './presenceTypes.js'
import { VmPresence } from './vmPresence.js'

const MAX_ADDRESSES = 64
const DOMAINS = ['calderon', 'cumbaya', 'quito', 'sangolqui', 'tababela']

const store: TableStore = {
  read: async () => Right({ rows: [], now: 0 }),
  scan: async () => Right({ rows: [], now: 0 }),
  transact: async () => Right({ version: 1, now: 0 })
}

function vmRow (domain: string, index: number, over: Partial<PresenceRow> = {}): PresenceRow {
  const vm = `${domain}-${index}`
  return { vm, holder: `${vm}~1`, domain, region: 'here', callers: `${vm}:1`, state: 'serving', beat: 1, ...over }
}

/** Rows of a fleet of equal domains. */
function fleetRows (vms: number): readonly PresenceRow[] {
  return Array.from({ length: vms }, (_, index) => vmRow(DOMAINS[index % DOMAINS.length] ?? '', index))
}

/** Presence of the first VM of the rows, which has received the rows of the others. */
async function createPresence (rows: readonly PresenceRow[]): Promise<VmPresence> {
  const [self, ...others] = rows
  if (self === undefined) throw new Error('the fleet needs at least one VM')
  let handler: FeedHandler | undefined
  const feed: TableFeed = {
    follow: (_table, followed) => {
      handler = followed
      return () => {}
    }
  }
  const { vm, holder, domain, region, callers } = self
  const presence = new VmPresence({ self: { vm, holder, domain, region, callers }, table: store, feed, digest: directTables, clock: { now: () => ({ mono: 0, wall: 0 }) }, log: { write: () => {} }, onJoined: () => {} })
  presence.start()
  handler?.replaced(others.map((value): FeedRow => ({ key: value.vm, value, version: 1 })))
  presence.setOverloaded(self.isPressed === true)
  presence.setUnreachable(self.unreachable ?? [])
  await presence.publishState(self.state)
  return presence
}

const callerIn = (domain: string, caller = 'c'): { readonly caller: string, readonly domain: string, readonly region: string } => ({ caller, domain, region: 'here' })
const domainOf = (address: string): string => address.split('-')[0] ?? ''

interface SizeCase {
  readonly vms: number
  readonly advertised: number
  /** Failure domains of the advertised VMs. */
  readonly domains: number
}

const sizes: readonly SizeCase[] = [
  { vms: 1, advertised: 1, domains: 1 },
  { vms: 6, advertised: 6, domains: 5 },
  { vms: 64, advertised: 13, domains: 1 },
  { vms: 65, advertised: 13, domains: 1 },
  { vms: 195, advertised: 39, domains: 1 },
  { vms: 360, advertised: MAX_ADDRESSES, domains: 1 }
]

describe('addresses for callers of a large fleet', () => {
  for (const { vms, advertised, domains } of sizes) {
    it(`include ${advertised} of ${vms} VMs in ${domains} failure domains`, async () => {
      const presence = await createPresence(fleetRows(vms))
      const addresses = presence.addresses(callerIn('calderon'))
      expect(addresses).to.have.length(advertised)
      expect(new Set(addresses)).to.have.length(advertised)
      expect(new Set(addresses.map(domainOf))).to.have.length(domains)
    })
  }

  it('include every VM about equally often over all callers', async () => {
    const vms = 360
    const presence = await createPresence(fleetRows(vms))
    const counts = new Map<string, number>()
    const callers = Array.from({ length: 1_000 }, (_, index) => callerIn(DOMAINS[index % DOMAINS.length] ?? '', `c${index}`))
    for (const caller of callers) for (const address of presence.addresses(caller)) counts.set(address, (counts.get(address) ?? 0) + 1)
    const mean = callers.length * MAX_ADDRESSES / vms
    expect(counts.size).to.equal(vms)
    expect(Math.min(...counts.values())).to.be.above(mean * 0.8)
    expect(Math.max(...counts.values())).to.be.below(mean * 1.2)
  })

  it('are the same from every VM', async () => {
    const rows = fleetRows(195)
    const one = await createPresence(rows)
    const other = await createPresence([...rows].reverse())
    for (const domain of [...DOMAINS, 'elsewhere']) expect([...one.addresses(callerIn(domain))].sort()).to.deep.equal([...other.addresses(callerIn(domain))].sort())
  })

  const locationCases: ReadonlyArray<{ readonly name: string, readonly rows: readonly PresenceRow[], readonly domain: string, readonly check: (addresses: readonly string[]) => void }> = [
    {
      name: 'VMs of other domains when the domain of the caller has a single VM',
      rows: [...fleetRows(100), vmRow('alone', 0)],
      domain: 'alone',
      check: addresses => {
        expect(addresses).to.include('alone-0:1')
        expect(addresses).to.have.length(MAX_ADDRESSES)
      }
    },
    {
      name: 'VMs of the region of the caller before others',
      rows: [...fleetRows(100), ...Array.from({ length: 20 }, (_, index) => vmRow('far', index, { region: 'there' }))],
      domain: 'nowhere',
      check: addresses => { expect(addresses.map(domainOf)).to.not.include('far') }
    },
    {
      name: 'no overloaded VM',
      rows: [...fleetRows(60), ...Array.from({ length: 10 }, (_, index) => vmRow('calderon', 100 + index, { isPressed: true }))],
      domain: 'calderon',
      check: addresses => { expect(addresses.filter(address => /-10\d:/.test(address))).to.have.length(0) }
    },
    {
      name: 'other domains when most VMs of the domain of the caller are overloaded',
      rows: fleetRows(100).map((row, index) => row.domain === 'calderon' && index > 20 ? { ...row, isPressed: true } : row),
      domain: 'calderon',
      check: addresses => { expect(new Set(addresses.map(domainOf))).to.have.length(DOMAINS.length) }
    },
    {
      name: 'overloaded VMs when all are overloaded',
      rows: fleetRows(20).map(row => ({ ...row, isPressed: true })),
      domain: 'calderon',
      check: addresses => { expect(addresses).to.have.length(20) }
    },
    {
      name: 'no VM that lacks a path to a service which others reach',
      rows: fleetRows(60).map((row, index) => index % 3 === 1 ? { ...row, unreachable: ['s'] } : row),
      domain: 'nowhere',
      check: addresses => { expect(addresses).to.have.length(40) }
    },
    {
      name: 'other domains when no VM of the domain of the caller has a path to the targets',
      rows: fleetRows(100).map(row => row.domain === 'cumbaya' ? { ...row, unreachable: ['s', 'other'] } : row),
      domain: 'cumbaya',
      check: addresses => {
        expect(addresses).to.have.length(MAX_ADDRESSES)
        expect(addresses.map(domainOf)).to.not.include('cumbaya')
      }
    },
    {
      name: 'VMs without a path to a service if no VM has one',
      rows: fleetRows(20).map(row => ({ ...row, unreachable: ['s'] })),
      domain: 'nowhere',
      check: addresses => { expect(addresses).to.have.length(20) }
    },
    {
      name: 'all VMs if each lacks a path to some service',
      rows: fleetRows(20).map((row, index) => ({ ...row, unreachable: [index % 2 === 0 ? 's' : 'other'] })),
      domain: 'nowhere',
      check: addresses => { expect(addresses).to.have.length(20) }
    },
    {
      name: 'no leaving or starting VM',
      rows: fleetRows(60).map((row, index) => ({ ...row, state: index % 3 === 0 ? 'serving' : index % 3 === 1 ? 'leaving' : 'starting' })),
      domain: 'nowhere',
      check: addresses => { expect(addresses).to.have.length(20) }
    }
  ]
  for (const { name, rows, domain, check } of locationCases) {
    it(`include ${name}`, async () => {
      check((await createPresence(rows)).addresses(callerIn(domain)))
    })
  }

  it('include VMs of all domains for a caller without a location', async () => {
    const addresses = (await createPresence(fleetRows(195))).addresses({ caller: 'c' })
    expect(addresses).to.have.length(MAX_ADDRESSES)
    expect(new Set(addresses.map(domainOf))).to.have.length(DOMAINS.length)
  })
})
