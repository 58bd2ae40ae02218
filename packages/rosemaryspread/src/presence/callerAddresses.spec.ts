/**
 * What callers saw on a calm day of a fleet of 195 VMs: 256 tries found no connection, nearly all at VMs of one failure domain, which
 * took a third of all requests while the busiest of its VMs had six times the mean load.
 * What happened: an answer named all 195 VMs in the order of their names, for callers of every place alike. Answers are allowed 64
 * addresses, and whoever takes the first ones takes those of the domain that comes first by name.
 * Evidence: the answers of one VM, at each size below, held as many addresses as there were VMs, and the same first 64 for all callers.
 */
import { expect } from 'chai'
import { Right } from 'purify-ts'
import type { FeedHandler, FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { directly } from '../digest/directTables.fixture.js'
import type { PresenceRow } from './presenceTypes.js'
import { VmPresence } from './vmPresence.js'

const MOST = 64
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
function fleet (vms: number): readonly PresenceRow[] {
  return Array.from({ length: vms }, (_, index) => vmRow(DOMAINS[index % DOMAINS.length] ?? '', index))
}

/** Presence of the first of some VMs, which has heard of the others. */
async function presenceOf (rows: readonly PresenceRow[]): Promise<VmPresence> {
  const [self, ...others] = rows
  if (self === undefined) throw new Error('a fleet has one VM at least')
  let handler: FeedHandler | undefined
  const feed: TableFeed = {
    follow: (_table, taken) => {
      handler = taken
      return () => {}
    }
  }
  const { vm, holder, domain, region, callers } = self
  const presence = new VmPresence({ self: { vm, holder, domain, region, callers }, table: store, feed, digest: directly, clock: { now: () => ({ mono: 0, wall: 0 }) }, log: { write: () => {} }, onJoined: () => {} })
  presence.start()
  handler?.replaced(others.map((value): FeedRow => ({ key: value.vm, value, version: 1 })))
  presence.pressed(self.isPressed === true)
  await presence.tell(self.state)
  return presence
}

const callerIn = (domain: string, caller = 'c'): { readonly caller: string, readonly domain: string, readonly region: string } => ({ caller, domain, region: 'here' })
const domainOf = (address: string): string => address.split('-')[0] ?? ''

interface SizeCase {
  readonly vms: number
  readonly named: number
  /** Failure domains of the VMs that are named. */
  readonly domains: number
}

const sizes: readonly SizeCase[] = [
  { vms: 1, named: 1, domains: 1 },
  { vms: 6, named: 6, domains: 5 },
  { vms: 64, named: 13, domains: 1 },
  { vms: 65, named: 13, domains: 1 },
  { vms: 195, named: 39, domains: 1 },
  { vms: 360, named: MOST, domains: 1 }
]

describe('addresses for callers of a large fleet', () => {
  for (const { vms, named, domains } of sizes) {
    it(`name ${named} of ${vms} VMs, in ${domains} failure domains`, async () => {
      const presence = await presenceOf(fleet(vms))
      const addresses = presence.addresses(callerIn('calderon'))
      expect(addresses).to.have.length(named)
      expect(new Set(addresses)).to.have.length(named)
      expect(new Set(addresses.map(domainOf))).to.have.length(domains)
    })
  }

  it('name every VM about equally often over callers', async () => {
    const vms = 360
    const presence = await presenceOf(fleet(vms))
    const counts = new Map<string, number>()
    const callers = Array.from({ length: 1_000 }, (_, index) => callerIn(DOMAINS[index % DOMAINS.length] ?? '', `c${index}`))
    for (const caller of callers) for (const address of presence.addresses(caller)) counts.set(address, (counts.get(address) ?? 0) + 1)
    const mean = callers.length * MOST / vms
    expect(counts.size).to.equal(vms)
    expect(Math.min(...counts.values())).to.be.above(mean * 0.8)
    expect(Math.max(...counts.values())).to.be.below(mean * 1.2)
  })

  it('are the same whichever VM is asked', async () => {
    const rows = fleet(195)
    const one = await presenceOf(rows)
    const other = await presenceOf([...rows].reverse())
    for (const domain of [...DOMAINS, 'elsewhere']) expect([...one.addresses(callerIn(domain))].sort()).to.deep.equal([...other.addresses(callerIn(domain))].sort())
  })

  const placed: ReadonlyArray<{ readonly name: string, readonly rows: readonly PresenceRow[], readonly domain: string, readonly named: (addresses: readonly string[]) => void }> = [
    {
      name: 'others as well where the own domain has a single VM',
      rows: [...fleet(100), vmRow('alone', 0)],
      domain: 'alone',
      named: addresses => {
        expect(addresses).to.include('alone-0:1')
        expect(addresses).to.have.length(MOST)
      }
    },
    {
      name: 'VMs of the own region before others',
      rows: [...fleet(100), ...Array.from({ length: 20 }, (_, index) => vmRow('far', index, { region: 'there' }))],
      domain: 'nowhere',
      named: addresses => { expect(addresses.map(domainOf)).to.not.include('far') }
    },
    {
      name: 'no VM that is pressed',
      rows: [...fleet(60), ...Array.from({ length: 10 }, (_, index) => vmRow('calderon', 100 + index, { isPressed: true }))],
      domain: 'calderon',
      named: addresses => { expect(addresses.filter(address => /-10\d:/.test(address))).to.have.length(0) }
    },
    {
      name: 'other domains where most VMs of the own one are pressed',
      rows: fleet(100).map((row, index) => row.domain === 'calderon' && index > 20 ? { ...row, isPressed: true } : row),
      domain: 'calderon',
      named: addresses => { expect(new Set(addresses.map(domainOf))).to.have.length(DOMAINS.length) }
    },
    {
      name: 'pressed VMs where all are',
      rows: fleet(20).map(row => ({ ...row, isPressed: true })),
      domain: 'calderon',
      named: addresses => { expect(addresses).to.have.length(20) }
    },
    {
      name: 'no VM that leaves or begins',
      rows: fleet(60).map((row, index) => ({ ...row, state: index % 3 === 0 ? 'serving' : index % 3 === 1 ? 'leaving' : 'starting' })),
      domain: 'nowhere',
      named: addresses => { expect(addresses).to.have.length(20) }
    }
  ]
  for (const { name, rows, domain, named } of placed) {
    it(`name ${name}`, async () => {
      named((await presenceOf(rows)).addresses(callerIn(domain)))
    })
  }

  it('name VMs of all domains to a caller who tells no place', async () => {
    const addresses = (await presenceOf(fleet(195))).addresses({ caller: 'c' })
    expect(addresses).to.have.length(MOST)
    expect(new Set(addresses.map(domainOf))).to.have.length(DOMAINS.length)
  })
})
