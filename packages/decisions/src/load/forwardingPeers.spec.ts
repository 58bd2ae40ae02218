/**
 * To which VMs connections are forwarded: few and always the same ones, so that the tokens of a team gather there, but more of them
 * the more connections are open, and none that did not take a connection.
 */
import { expect } from 'chai'
import { ForwardingPeers, type ForwardingPeer } from './forwardingPeers.js'

const all: readonly ForwardingPeer[] = Array.from({ length: 20 }, (_, index) => ({ vm: `vm-${index}`, address: `127.0.0.1:${index}` }))

function peersOf (self: string, { open = 0, mono = 0, candidates = all }: { readonly open?: number, readonly mono?: number, readonly candidates?: readonly ForwardingPeer[] } = {}): ForwardingPeers {
  const peers = new ForwardingPeers(self)
  peers.update(candidates, mono)
  for (let i = 0; i < open; i += 1) peers.opened(peers.choose(() => (i * 0.37) % 1)?.vm ?? '')
  peers.update(candidates, mono)
  return peers
}

const names = (peers: ForwardingPeers): readonly string[] => peers.chosen.map(({ vm }) => vm)

const sizes: ReadonlyArray<{ readonly name: string, readonly open: number, readonly vms: number, readonly size: number }> = [
  { name: 'two VMs without open connections', open: 0, vms: 20, size: 2 },
  { name: 'two VMs for few open connections', open: 20, vms: 20, size: 2 },
  { name: 'more VMs for more open connections', open: 65, vms: 20, size: 7 },
  { name: 'all VMs if there are too few', open: 65, vms: 3, size: 3 },
  { name: 'the only VM', open: 65, vms: 1, size: 1 },
  { name: 'none if no VM has capacity', open: 0, vms: 0, size: 0 }
]

describe('ForwardingPeers', () => {
  for (const { name, open, vms, size } of sizes) {
    it(`lists ${name}`, () => {
      expect(names(peersOf('self', { open, candidates: all.slice(0, vms) }))).to.have.length(size)
    })
  }

  it('lists the same VMs each time, whatever the order of the candidates', () => {
    expect(names(peersOf('self', { candidates: [...all].reverse() }))).to.deep.equal(names(peersOf('self')))
  })

  it('keeps the first VMs when the list grows', () => {
    expect(names(peersOf('self', { open: 65 })).slice(0, 2)).to.deep.equal(names(peersOf('self')))
  })

  it('replaces only the VM that has no capacity any more', () => {
    const [first, second] = names(peersOf('self'))
    expect(names(peersOf('self', { candidates: all.filter(({ vm }) => vm !== first) }))[0]).to.equal(second)
  })

  it('spreads the first VMs of different VMs', () => {
    const firsts = new Set(all.map(({ vm }) => names(peersOf(vm))[0]))
    expect(firsts.size).to.be.above(8)
  })

  it('shrinks the list by one VM at a time', () => {
    const peers = peersOf('self', { open: 65 })
    for (const { vm } of all) for (let i = 0; i < 65; i += 1) peers.closed(vm)
    const lengths = [0, 4_000, 5_000, 9_000, 10_000, 15_000].map(mono => {
      peers.update(all, mono)
      return names(peers).length
    })
    expect(lengths).to.deep.equal([7, 7, 6, 6, 5, 4])
  })

  it('chooses the VM with fewer open connections of two', () => {
    const peers = peersOf('self')
    const [first = '', second] = names(peers)
    peers.opened(first)
    expect([0, 0.4, 0.6, 0.99].map(value => peers.choose(() => value)?.vm)).to.deep.equal([second, second, second, second])
  })

  it('chooses none without candidates', () => {
    expect(peersOf('self', { candidates: [] }).choose(() => 0)).to.equal(undefined)
  })

  const failureCases: ReadonlyArray<{ readonly name: string, readonly failedAt: readonly number[], readonly acceptedAt?: number, readonly until: number }> = [
    { name: 'shortly', failedAt: [0], until: 300 },
    { name: 'as shortly for several connections at once', failedAt: [0, 10, 20], until: 300 },
    { name: 'for twice as long the second time', failedAt: [0, 300], until: 900 },
    { name: 'for five seconds at most', failedAt: [0, 300, 1_000, 3_000, 6_000, 12_000, 20_000], until: 25_000 },
    { name: 'shortly again after it took one', failedAt: [0, 300, 2_000], acceptedAt: 1_000, until: 2_300 }
  ]
  for (const { name, failedAt, acceptedAt = Infinity, until } of failureCases) {
    it(`leaves out a VM that did not take a connection ${name}`, () => {
      const peers = peersOf('self')
      const [first = ''] = names(peers)
      const isListed = (mono: number): boolean => {
        peers.update(all, mono)
        return names(peers).includes(first)
      }
      for (const mono of failedAt) {
        if (mono > acceptedAt) peers.accepted(first)
        peers.failed(first, mono)
      }
      expect([isListed(until - 1), isListed(until)]).to.deep.equal([false, true])
    })
  }

  it('removes a VM that did not take a connection at once', () => {
    const peers = peersOf('self')
    const [first = '', second] = names(peers)
    peers.failed(first, 0)
    expect(names(peers)).to.deep.equal([second])
  })
})
