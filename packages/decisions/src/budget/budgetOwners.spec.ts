/**
 * Ownership of budgets, and holders that do not own one: they request grants from the owners, draw only if no owner answers, and
 * return the rest.
 */
import { expect } from 'chai'
import { BudgetLedger } from './budgetLedger.js'
import { RendezvousOwners } from './budgetOwners.js'
import { defaultBudgetPolicy, type BudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent } from './budgetTypes.js'

const vms = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => `vm${index}~a`)
const budgets = Array.from({ length: 24 }, (_, index) => `team${index}`)

function ownersAt (self: string, present: readonly string[]): RendezvousOwners {
  const owners = new RendezvousOwners(self)
  owners.refresh(present.filter(holder => holder !== self))
  return owners
}

describe('RendezvousOwners', () => {
  const sizes: ReadonlyArray<{ readonly present: number, readonly owners: number }> = [
    { present: 1, owners: 1 }, { present: 7, owners: 7 }, { present: 8, owners: 8 }, { present: 9, owners: 4 }, { present: 360, owners: 4 }
  ]
  for (const { present, owners: expected } of sizes) {
    it(`has ${expected} of ${present} VMs own each budget, the same at each of them`, () => {
      const holders = vms(present)
      const views = [holders[0], holders[present - 1]].map(self => ownersAt(self ?? '', holders))
      for (const budget of budgets) {
        const [first, last] = views.map(view => holders.filter(holder => view.owns(holder, budget)))
        expect(first).to.have.length(expected).and.deep.equal(last)
      }
      expect(views.map(view => view.count)).to.deep.equal([expected, expected])
    })
  }

  it('moves no budget when a VM restarts, and only those of a removed VM', () => {
    const holders = vms(60)
    const view = ownersAt('vm0~a', holders)
    const before = budgets.map(budget => holders.filter(holder => view.owns(holder, budget)))
    view.refresh(holders.slice(1).map(holder => holder === 'vm5~a' ? 'vm5~b' : holder))
    const restarted = budgets.map(budget => holders.filter(holder => view.owns(holder.replace('vm5~a', 'vm5~b'), budget)))
    expect(restarted).to.deep.equal(before)
    view.refresh(holders.slice(1).filter(holder => holder !== 'vm5~a'))
    budgets.forEach((budget, index) => {
      const remaining = holders.filter(holder => holder !== 'vm5~a' && view.owns(holder, budget))
      expect(remaining).to.include.members(before[index]?.filter(holder => holder !== 'vm5~a') ?? [])
    })
  })
})

const policy: BudgetPolicy = {
  ...defaultBudgetPolicy, horizonMs: 45_000, rateWindowMs: 3_000, boundsUnreportedUse: true, demandSource: 'reservations', fairShareRatio: 0.5, grantAfterMs: 20, flushMs: 100, unreachableWaitMs: 30, otherVmRetryMs: 20
}

/** Ledger of a holder that owns all budgets or none. */
class Holder {
  mono = 1_000
  readonly ledger: BudgetLedger

  constructor (isOwner: boolean) {
    this.ledger = new BudgetLedger('vm1~a', policy, { owns: holder => holder === 'vm1~a' ? isOwner : !isOwner, count: 8 })
  }

  send (event: BudgetEvent): readonly BudgetAction[] {
    return this.ledger.handle(event, { mono: this.mono, wall: this.mono })
  }

  kinds (event: BudgetEvent): readonly string[] {
    return this.send(event).map(({ kind }) => kind)
  }

  grant (actions: readonly BudgetAction[], tokens: number): readonly BudgetAction[] {
    const draw = actions.find(action => action.kind === 'draw')
    return this.send({ kind: 'drawAnswered', drawId: draw?.drawId ?? '', outcome: { kind: 'granted', tokens, left: 0, sentAt: { mono: this.mono, wall: this.mono }, fleet: { paid: 100_000, spent: 0, holders: 8 } } })
  }
}

const reserve = (tokens: number): BudgetEvent => ({ kind: 'reserve', reservationId: 'r1', budget: 'b', tokens, giveUpAfterMs: 150 })

describe('a holder that does not own a budget', () => {
  it('draws nothing ahead of need', () => {
    expect(new Holder(false).kinds({ kind: 'prepare', budget: 'b' })).to.deep.equal([])
    expect(new Holder(true).kinds({ kind: 'prepare', budget: 'b' })).to.deep.equal(['draw'])
  })

  it('requests a grant from the owners immediately and serves from it', () => {
    const holder = new Holder(false)
    const [request] = holder.send(reserve(1_000))
    expect(request).to.include({ kind: 'requestGrant', tokens: 1_000 })
    expect(holder.kinds({ kind: 'grantAnswered', giftId: request?.kind === 'requestGrant' ? request.giftId : '', budget: 'b', tokens: 1_000, isReached: true })).to.deep.equal(['admit'])
  })

  it('requests a grant again, and draws nothing, if the owners granted too little', () => {
    const holder = new Holder(false)
    const [request] = holder.send(reserve(1_000))
    const later: BudgetAction[] = []
    const drawn = holder.send({ kind: 'grantAnswered', giftId: request?.kind === 'requestGrant' ? request.giftId : '', budget: 'b', tokens: 0, isReached: true })
    for (let tick = 0; tick < 3; tick += 1) {
      holder.mono += 40
      later.push(...holder.send({ kind: 'tick' }))
    }
    expect([...drawn, ...later].filter(({ kind }) => kind === 'draw')).to.deep.equal([])
    expect(later.filter(({ kind }) => kind === 'requestGrant').length).to.equal(1)
  })

  it('draws only the waiting amount if no owner answers, and returns the rest', () => {
    const holder = new Holder(false)
    const [request] = holder.send(reserve(1_000))
    holder.mono += 5
    const drawn = holder.send({ kind: 'grantAnswered', giftId: request?.kind === 'requestGrant' ? request.giftId : '', budget: 'b', tokens: 0, isReached: false })
    expect(drawn.find(action => action.kind === 'draw')).to.include({ tokens: 1_000, atLeast: 1_000 })
    expect(holder.grant(drawn, 1_000).map(({ kind }) => kind)).to.include('admit')
    holder.send({ kind: 'settle', reservationId: 'r1', bill: { requestId: 'r1', budget: 'b', team: 'b', tokens: 400, runner: '' } })
    const flush = holder.send({ kind: 'tick' }).find(action => action.kind === 'flush')
    expect([flush?.bills.map(({ tokens }) => tokens), flush?.returns]).to.deep.equal([[400], [{ budget: 'b', tokens: 600 }]])
  })
})

describe('a holder with high demand for a budget that it does not own', () => {
  it('draws ahead of need until the demand ends, and then returns the rest', () => {
    const holder = new Holder(false)
    const drawn: BudgetAction[] = []
    for (let index = 0; index < 40; index += 1) {
      const actions = holder.send({ kind: 'reserve', reservationId: `r${index}`, budget: 'b', tokens: 1_000, giveUpAfterMs: 150 })
      const request = actions.find(action => action.kind === 'requestGrant')
      if (request !== undefined) drawn.push(...holder.send({ kind: 'grantAnswered', giftId: request.giftId, budget: 'b', tokens: 1_000, isReached: true }))
      drawn.push(...actions)
      holder.mono += 100
    }
    const ahead = drawn.filter(action => action.kind === 'draw')
    expect(ahead.length).to.be.greaterThan(0)
    holder.grant(ahead, 100_000)
    expect(holder.kinds({ kind: 'reserve', reservationId: 'r40', budget: 'b', tokens: 1_000, giveUpAfterMs: 150 })).to.include('admit')
    const returned: number[] = []
    for (let tick = 0; tick < 200; tick += 1) {
      holder.mono += 100
      for (const action of holder.send({ kind: 'tick' })) {
        if (action.kind !== 'flush') continue
        returned.push(...action.returns.map(({ tokens }) => tokens))
        holder.send({ kind: 'flushAnswered', seq: action.seq, outcome: { kind: 'durable', sentAt: { mono: holder.mono, wall: holder.mono } } })
      }
    }
    expect(returned.reduce((sum, tokens) => sum + tokens, 0)).to.be.at.least(98_000)
  })
})

describe('an owner of a budget', () => {
  it('reports immediately if the last report allows too little, and draws for the demand of other holders', () => {
    const owner = new Holder(true)
    owner.grant(owner.send({ kind: 'prepare', budget: 'b' }), 20_000)
    const first = owner.send({ kind: 'grantRequested', giftId: 'g1', budget: 'b', tokens: 9_000, to: 'vm2~a' })
    expect(first.map(({ kind }) => kind)).to.deep.equal(['answerGrant', 'flush'])
    expect(first.find(action => action.kind === 'answerGrant')).to.include({ tokens: 2_000 })
    const flush = first.find(action => action.kind === 'flush')
    expect(flush?.reports).to.deep.equal([{ budget: 'b', tokens: 9_000, perMs: 4 }])
    owner.send({ kind: 'flushAnswered', seq: 1, outcome: { kind: 'durable', sentAt: { mono: owner.mono, wall: owner.mono } } })
    const next = owner.send({ kind: 'grantRequested', giftId: 'g2', budget: 'b', tokens: 9_000, to: 'vm2~a' })
    expect(next.map(({ kind }) => kind)).to.deep.equal(['answerGrant', 'draw'])
    expect(next.find(action => action.kind === 'answerGrant')).to.include({ tokens: 9_000 })
  })
})
