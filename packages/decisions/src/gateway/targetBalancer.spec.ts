/**
 * Choice of targets: affinity of shared parts, less work elsewhere, and failing targets.
 */
import { expect } from 'chai'
import { TargetBalancer, type TargetChoice, type TargetDemand } from './targetBalancer.js'
import type { TargetView } from './targetSet.js'

const targets: readonly TargetView[] = ['a', 'b', 'c', 'd', 'e'].map(id =>
  ({ id, service: 's', address: id, domain: 'd', slots: 4, isLeaving: false }))

function demand (over: Partial<TargetDemand> = {}): TargetDemand {
  return { sharedParts: ['p', 'q'], sharedTokens: 1_000, unsharedTokens: 100, exclude: new Set(), ...over }
}

function chosen (balancer: TargetBalancer, targetDemand: TargetDemand, mono = 0): TargetChoice {
  return balancer.choose(targets, targetDemand, mono, 0.5).unsafeCoerce()
}

const home = chosen(new TargetBalancer(), demand()).target

interface BalancerCase {
  readonly name: string
  readonly before: (balancer: TargetBalancer) => void
  readonly demand?: TargetDemand
  readonly mono?: number
  readonly atHome: boolean
  readonly reason: TargetChoice['reason']
}

/** Sends tokens to the home target with an earlier request that has no response yet. */
function sendHome (tokens: number): (balancer: TargetBalancer) => void {
  return balancer => { balancer.sent({ target: home, work: tokens, candidates: 5, reason: 'affinity' }, ['x'], 0) }
}

function reportPeerWorkHome (work: number): (balancer: TargetBalancer) => void {
  return balancer => { balancer.recordPeerWork({ target: home.id, work, parts: 'x' }, 0) }
}

/** The home target took two seconds to prefill 4,000 tokens. */
function slowDownHome (balancer: TargetBalancer): void {
  const { ticket } = balancer.sent({ target: home, work: 4_000, candidates: 5, reason: 'affinity' }, ['x'], 0)
  balancer.endPrefill(home.id, ticket, true, 2_000)
}

function failHome (times: number): (balancer: TargetBalancer) => void {
  return balancer => {
    for (let i = 0; i < times; i += 1) {
      balancer.sent({ target: home, work: 0, candidates: 5, reason: 'affinity' }, [], 0)
      balancer.ended(home.id, 'failed', 0)
    }
  }
}

const cases: readonly BalancerCase[] = [
  { name: 'routes the same shared parts to the same target', before: () => {}, atHome: true, reason: 'affinity' },
  { name: 'stays with the home target while its queue costs less than prefilling the parts again', before: sendHome(3_900), atHome: true, reason: 'affinity' },
  { name: 'leaves the home target once its queue costs more than prefilling the parts again', before: sendHome(4_100), atHome: false, reason: 'lessWork' },
  { name: 'leaves the home target sooner with few shared tokens', before: sendHome(210), demand: demand({ sharedTokens: 50 }), atHome: false, reason: 'lessWork' },
  {
    name: 'does not count work that was prefilled',
    before: balancer => {
      const { ticket } = balancer.sent({ target: home, work: 9_000, candidates: 5, reason: 'affinity' }, ['x'], 0)
      balancer.endPrefill(home.id, ticket, true, 100)
    },
    mono: 100,
    atHome: true,
    reason: 'affinity'
  },
  { name: 'counts work reported by a peer', before: reportPeerWorkHome(9_000), atHome: false, reason: 'lessWork' },
  { name: 'lets work reported by a peer decay over time', before: reportPeerWorkHome(9_000), mono: 200, atHome: true, reason: 'affinity' },
  { name: 'leaves a target with slow prefill for a faster one', before: slowDownHome, demand: demand({ unsharedTokens: 5_000, sharedTokens: 100 }), mono: 2_000, atHome: false, reason: 'lessWork' },
  { name: 'leaves out a target tried already', before: () => {}, demand: demand({ exclude: new Set([home.id]) }), atHome: false, reason: 'affinity' },
  { name: 'tolerates two failures', before: failHome(2), atHome: true, reason: 'affinity' },
  { name: 'ejects after three failures in a row', before: failHome(3), atHome: false, reason: 'affinity' },
  {
    name: 'ejects after one failure to connect',
    before: balancer => { balancer.ended(home.id, 'unreachable', 0) },
    atHome: false,
    reason: 'affinity'
  }
]

describe('TargetBalancer', () => {
  it('resets the state of a target that restarted under its id, but retains its open requests', () => {
    const balancer = new TargetBalancer()
    const [a, b] = [{ id: 'a', service: 's', address: 'a:1', domain: 'd', slots: 1, isLeaving: false }, { id: 'b', service: 's', address: 'b:1', domain: 'd', slots: 1, isLeaving: false }]
    const demand = { sharedParts: [], sharedTokens: 0, unsharedTokens: 1, exclude: new Set<string>() }
    balancer.sent({ target: a, candidates: 2, reason: 'fewestOpen', work: 1 }, [], 0)
    balancer.sent({ target: a, candidates: 2, reason: 'fewestOpen', work: 1 }, [], 0)
    balancer.ended('a', 'unreachable', 0)
    const chosen = (): string | undefined => balancer.choose([a, b], { ...demand, exclude: new Set(['b']) }, 1, 0).map(({ target }) => target.id).extract() as string
    balancer.sent({ target: b, candidates: 2, reason: 'fewestOpen', work: 1 }, [], 0)
    balancer.sent({ target: b, candidates: 2, reason: 'fewestOpen', work: 1 }, [], 0)
    expect(balancer.choose([a, b], demand, 1, 0).map(({ target }) => target.id).extract()).to.equal('b')
    balancer.resetTarget('a')
    expect([balancer.open('a'), chosen(), balancer.choose([a, b], demand, 1, 0).map(({ target }) => target.id).extract()]).to.deep.equal([1, 'a', 'a'])
  })

  for (const test of cases) {
    it(test.name, () => {
      const balancer = new TargetBalancer()
      test.before(balancer)
      const choice = chosen(balancer, test.demand ?? demand(), test.mono)
      expect([choice.target.id === home.id, choice.reason]).to.deep.equal([test.atHome, test.reason])
    })
  }

  it('counts shared parts as work only where they are assumed not to be cached', () => {
    const balancer = new TargetBalancer()
    sendHome(4_100)(balancer)
    const away = chosen(balancer, demand())
    const { ticket } = balancer.sent(away, ['p', 'q'], 0)
    balancer.endPrefill(away.target.id, ticket, true, 0)
    expect([away.work, chosen(balancer, demand(), 5_000).work]).to.deep.equal([1_100, 100])
  })

  const notificationCases: ReadonlyArray<{ readonly name: string, readonly demand: TargetDemand, readonly isNotified: boolean }> = [
    { name: 'of large requests', demand: demand({ unsharedTokens: 5_000 }), isNotified: true },
    { name: 'not of small requests at the home target', demand: demand(), isNotified: false },
    { name: 'not of requests without shared parts', demand: demand({ sharedParts: [], unsharedTokens: 5_000 }), isNotified: false }
  ]
  for (const { name, demand: requestDemand, isNotified } of notificationCases) {
    it(`notifies peers ${name}`, () => {
      const balancer = new TargetBalancer()
      const { notification } = balancer.sent(chosen(balancer, requestDemand), requestDemand.sharedParts, 0)
      expect(notification !== undefined).to.equal(isNotified)
    })
  }

  it('uses shared parts that a peer sent to another target', () => {
    const [here, there] = [new TargetBalancer(), new TargetBalancer()]
    for (const balancer of [here, there]) sendHome(4_100)(balancer)
    const away = chosen(here, demand())
    const { notification } = here.sent(away, ['p', 'q'], 0)
    if (notification !== undefined) there.recordPeerWork(notification, 0)
    expect([away.work, chosen(there, demand(), 100).work]).to.deep.equal([1_100, 100])
  })

  it('sends requests without shared parts to the target with the fewest open', () => {
    const balancer = new TargetBalancer()
    const seen = new Set<string>()
    for (let i = 0; i < targets.length; i += 1) {
      const choice = chosen(balancer, demand({ sharedParts: [] }))
      balancer.sent(choice, [], 0)
      seen.add(choice.target.id)
    }
    expect(seen.size).to.equal(targets.length)
  })

  it('uses ejected targets when all are ejected', () => {
    const balancer = new TargetBalancer()
    for (const { id } of targets) balancer.ended(id, 'unreachable', 0)
    expect(balancer.choose(targets, demand(), 1, 0).isRight()).to.equal(true)
  })

  it('refuses with a retry delay when there is no target', () => {
    const failure = new TargetBalancer().choose([], demand(), 0, 0).extract()
    expect(failure).to.include({ code: 'noRunner', ran: 'no', retryAfterMs: 300 })
  })

  interface VersionCase {
    readonly name: string
    readonly demand: Partial<TargetDemand>
    /** Called before each choice. */
    readonly before?: (balancer: TargetBalancer, target: string) => void
  }

  const versionCases: readonly VersionCase[] = [
    { name: 'by affinity', demand: {} },
    { name: 'with the fewest open', demand: { sharedParts: [], sharedTokens: 0 } },
    { name: 'after its targets were ejected', demand: {}, before: (balancer, target) => { balancer.ended(target, 'unreachable', 0) } },
    { name: 'under suspicion', demand: { suspicion: { digest: 'x', domains: ['d'] } } },
    { name: 'while targets warm up', demand: { warmUp: { perS: 100, vm: 'vm', vms: () => ['vm'] } }, before: (balancer, target) => { balancer.updateWarmUp(target, 1_000, 0) } }
  ]
  const versioned = targets.map((target, index) => ({ ...target, version: index < 2 ? 'new' : 'old' }))
  for (const { name, demand: over, before } of versionCases) {
    it(`chooses only targets of the version that a stream needs: ${name}`, () => {
      const balancer = new TargetBalancer()
      const exclude = new Set<string>()
      for (const target of versioned.slice(0, 2)) {
        before?.(balancer, target.id)
        const { target: { id, version } } = balancer.choose(versioned, demand({ ...over, version: 'new', exclude }), 0, 0.5).unsafeCoerce()
        exclude.add(id)
        expect(version).to.equal('new')
      }
      expect(balancer.choose(versioned, demand({ ...over, version: 'new', exclude }), 0, 0.5).swap().unsafeCoerce().code).to.equal('noRunner')
    })
  }

  it('refuses a stream whose version no target runs, one that terminated included until it is listed with a later start', () => {
    const balancer = new TargetBalancer()
    const choose = (version: string): string => balancer.choose(versioned, demand({ version }), 0, 0.5).caseOf<string>({ Left: ({ code }) => code, Right: ({ target }) => target.id })
    balancer.ended('a', 'terminated', 0)
    expect([choose('newest'), choose('new')]).to.deep.equal(['versionUnavailable', 'b'])
    balancer.ended('b', 'terminated', 0)
    expect(choose('new')).to.equal('versionUnavailable')
    balancer.resetTarget('a')
    expect(choose('new')).to.equal('a')
  })

  it('spreads many keys over all targets', () => {
    const balancer = new TargetBalancer()
    const counts = new Map<string, number>()
    for (let key = 0; key < 1_000; key += 1) {
      const { id } = chosen(balancer, demand({ sharedParts: [`k${key}`] })).target
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    for (const { id } of targets) expect(counts.get(id)).to.be.within(140, 260)
  })
})
