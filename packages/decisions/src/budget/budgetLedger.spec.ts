/**
 * Ledger of one holder: its actions for each event.
 */
import { expect } from 'chai'
import { BudgetLedger } from './budgetLedger.js'
import { defaultBudgetPolicy, usableMs } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent, DrawOutcome } from './budgetTypes.js'

const policy = { ...defaultBudgetPolicy, flushMs: 100 }

/** A ledger with its clocks. */
class Harness {
  readonly ledger: BudgetLedger
  mono = 0
  wall = 0

  constructor (ledgerPolicy = policy) {
    this.ledger = new BudgetLedger('vm1~a', ledgerPolicy)
  }

  send (event: BudgetEvent): readonly BudgetAction[] {
    return this.ledger.handle(event, { mono: this.mono, wall: this.wall })
  }

  reserve (reservationId: string, tokens: number): readonly BudgetAction[] {
    return this.send({ kind: 'reserve', reservationId, budget: 'b', tokens, giveUpAfterMs: 1000 })
  }

  answer (actions: readonly BudgetAction[], outcome: DrawOutcome): readonly BudgetAction[] {
    const draw = actions.find(action => action.kind === 'draw')
    return this.send({ kind: 'drawAnswered', drawId: draw?.drawId ?? '', outcome })
  }

  grant (actions: readonly BudgetAction[], tokens: number): readonly BudgetAction[] {
    return this.answer(actions, { kind: 'granted', tokens, left: 0, sentAt: { mono: this.mono, wall: this.wall } })
  }

  settle (reservationId: string, tokens: number): readonly BudgetAction[] {
    return this.send({ kind: 'settle', reservationId, bill: { requestId: reservationId, budget: 'b', team: 't', tokens, runner: 'r' } })
  }

  pass (ms: number): readonly BudgetAction[] {
    this.mono += ms
    this.wall += ms
    return this.send({ kind: 'tick' })
  }
}

function kinds (actions: readonly BudgetAction[]): readonly string[] {
  return actions.map(action => action.kind === 'refuse' ? action.failure.code : action.kind)
}

describe('budget ledger', () => {
  it('admits from its allotment without a query', () => {
    const harness = new Harness()
    expect(kinds(harness.grant(harness.reserve('r1', 100), 10_000))).to.deep.equal(['admit'])
    expect(kinds(harness.reserve('r2', 100))).to.deep.equal(['admit'])
  })

  const refusals: ReadonlyArray<{ title: string, outcome: DrawOutcome, code: string }> = [
    { title: 'the budget is spent', outcome: { kind: 'short', left: 20, elsewhere: 50, sentAt: { mono: 0, wall: 0 } }, code: 'budgetSpent' },
    { title: 'the budget is unknown', outcome: { kind: 'unknownBudget' }, code: 'budgetUnknown' }
  ]
  for (const { title, outcome, code } of refusals) {
    it(`refuses immediately if ${title}`, () => {
      const harness = new Harness()
      expect(kinds(harness.answer(harness.reserve('r1', 100), outcome))).to.include(code)
    })
  }

  it('requests a transfer in the domain, recalls from all domains and draws again before it refuses', () => {
    const harness = new Harness()
    const short: DrawOutcome = { kind: 'short', left: 0, elsewhere: 500, sentAt: { mono: 0, wall: 0 } }
    const requested = harness.answer(harness.reserve('r1', 100), short)
    expect(kinds(requested)).to.deep.equal(['requestTransfer'])
    const transferRequest = requested.find(action => action.kind === 'requestTransfer')
    const recalled = harness.send({ kind: 'transferAnswered', transferId: transferRequest?.transferId ?? '' })
    expect(kinds(recalled)).to.deep.equal(['recall'])
    const recall = recalled.find(action => action.kind === 'recall')
    const redraw = harness.send({ kind: 'recallAnswered', recallId: recall?.recallId ?? '', returned: 0, unreachable: 500 })
    expect(kinds(redraw)).to.deep.equal(['draw'])
    harness.answer(redraw, short)
    expect(kinds(harness.pass(1000))).to.include('budgetElsewhere')
  })

  const pauses: ReadonlyArray<{ title: string, mono: number, wall: number, admits: boolean }> = [
    { title: 'shortly before expiry', mono: usableMs(policy) - 1, wall: usableMs(policy) - 1, admits: true },
    { title: 'after expiry by the monotonic clock', mono: usableMs(policy), wall: 0, admits: false },
    { title: 'after expiry by the wall clock', mono: 0, wall: usableMs(policy), admits: false },
    { title: 'with the wall clock set back', mono: 10, wall: -1e9, admits: true }
  ]
  for (const { title, mono, wall, admits } of pauses) {
    it(`${admits ? 'admits' : 'does not admit'} ${title}`, () => {
      const harness = new Harness()
      harness.grant(harness.reserve('r1', 100), 100_000)
      harness.mono += mono
      harness.wall += wall
      expect(kinds(harness.reserve('r2', 100)).includes('admit')).to.equal(admits)
      expect(harness.ledger.isValid('r1', { mono: harness.mono, wall: harness.wall })).to.equal(admits)
    })
  }

  it('retries a flush unchanged until its outcome is known, and sends later bills in the next one', () => {
    const harness = new Harness()
    harness.grant(harness.reserve('r1', 100), 1000)
    harness.reserve('r2', 100)
    harness.settle('r1', 50)
    const first = harness.pass(100).find(action => action.kind === 'flush')
    harness.send({ kind: 'flushAnswered', seq: 1, outcome: { kind: 'unavailable' } })
    harness.settle('r2', 60)
    const again = harness.pass(policy.retryMs).find(action => action.kind === 'flush')
    expect(again).to.deep.equal(first)
    harness.send({ kind: 'flushAnswered', seq: 1, outcome: { kind: 'durable', sentAt: { mono: 0, wall: 0 } } })
    const next = harness.pass(100).find(action => action.kind === 'flush')
    expect(next).to.deep.include({ seq: 2, bills: [{ requestId: 'r2', budget: 'b', team: 't', tokens: 60, runner: 'r' }] })
  })

  it('transfers tokens once for each id, and only those recorded for it in the table', () => {
    const harness = new Harness()
    harness.grant(harness.reserve('r1', 100), 1000)
    const request: BudgetEvent = { kind: 'transferRequested', transferId: 't1', budget: 'b', to: 'vm2~a', wanted: 300, atLeast: 300, sameDomain: true }
    expect(harness.send(request)).to.deep.equal(harness.send(request))
    expect(harness.ledger.view('b')).to.include({ held: 700 })
    harness.send({ kind: 'transferAnswered', transferId: 't2', requestedAt: { mono: 0, wall: 0 }, transfer: { transferId: 't2', budget: 'b', from: 'vm3~a', to: 'vm1~a', tokens: 500, validForMs: 1e6 } })
    const [capped] = harness.send({ ...request, transferId: 't3', wanted: 5000, atLeast: 5000 })
    expect(capped).to.nested.include({ 'transfer.tokens': 600 })
  })

  it('stops spending a closed allotment and reports the tokens in doubt', () => {
    const harness = new Harness()
    harness.grant(harness.reserve('r1', 100), 1000)
    harness.reserve('r2', 70)
    harness.settle('r1', 50)
    harness.pass(100)
    const actions = harness.send({ kind: 'flushAnswered', seq: 1, outcome: { kind: 'closed', budgets: ['b'] } })
    expect(actions[0]).to.deep.equal({ kind: 'closed', budget: 'b', inDoubt: 120 })
    expect(harness.ledger.view('b')).to.include({ held: 0, reserved: 0, unsettled: 0 })
    expect(harness.settle('r2', 10)).to.deep.equal([])
  })

  it('refuses requests and returns all free tokens while draining', () => {
    const harness = new Harness()
    harness.grant(harness.reserve('r1', 100), 1000)
    const flush = harness.send({ kind: 'drain' }).find(action => action.kind === 'flush')
    expect(flush?.returns).to.deep.equal([{ budget: 'b', tokens: 900 }])
    expect(kinds(harness.reserve('r2', 1))).to.deep.equal(['draining'])
  })

  it('renews an idle allotment well before it expires', () => {
    const harness = new Harness()
    harness.settle('r1', 0)
    harness.grant(harness.reserve('r1', 100), 1000)
    harness.send({ kind: 'settle', reservationId: 'r1' })
    expect(kinds(harness.pass(policy.allotmentExpiryMs / 4 + 1))).to.include('flush')
  })

  describe('with bounds on unreported use', () => {
    const bounded = { ...policy, boundsUnreportedUse: true, demandSource: 'reservations' as const, flushMs: 60_000 }
    const LARGEST = 2_000

    function boundedHarness (): Harness {
      const harness = new Harness(bounded)
      harness.grant(harness.reserve('r0', LARGEST), 1_000_000)
      return harness
    }

    /** Reserves until a request has to wait; returns the number of admitted requests and the last actions. */
    function fill (harness: Harness): { readonly admitted: number, readonly last: readonly BudgetAction[] } {
      for (let admitted = 0; ; admitted += 1) {
        const last = harness.send({ kind: 'reserve', reservationId: `f${admitted}`, budget: 'b', tokens: LARGEST, giveUpAfterMs: 10_000 })
        if (!kinds(last).includes('admit')) return { admitted, last }
      }
    }

    it('admits as much as the first report allows, then reports again before it admits more', () => {
      const harness = boundedHarness()
      const { admitted, last } = fill(harness)
      expect(admitted).to.be.greaterThan(1).and.below(100)
      const flush = last.find(action => action.kind === 'flush')
      expect(flush?.reports?.[0]?.tokens).to.be.greaterThan((admitted + 2) * LARGEST)
      const after = harness.send({ kind: 'flushAnswered', seq: flush?.seq ?? 0, outcome: { kind: 'durable', sentAt: { mono: 0, wall: 0 } } })
      expect(kinds(after)).to.include('admit')
    })

    it('does not allow once more, in a report, the tokens that the same flush bills', () => {
      const harness = boundedHarness()
      harness.settle('r0', LARGEST)
      const flush = harness.pass(policy.flushMs).find(action => action.kind === 'flush')
      expect([flush?.bills.map(({ tokens }) => tokens), flush?.reports?.map(({ tokens }) => tokens)]).to.deep.equal([[LARGEST], [100_000]])
    })

    it('admits no more while the outcome of the report is unknown', () => {
      const harness = boundedHarness()
      const flush = fill(harness).last.find(action => action.kind === 'flush')
      const after = harness.send({ kind: 'flushAnswered', seq: flush?.seq ?? 0, outcome: { kind: 'unavailable' } })
      expect(kinds(after)).not.to.include('admit')
    })

    it('admits more with time while no report can be written', () => {
      const harness = boundedHarness()
      const flush = fill(harness).last.find(action => action.kind === 'flush')
      harness.send({ kind: 'flushAnswered', seq: flush?.seq ?? 0, outcome: { kind: 'unavailable' } })
      expect([kinds(harness.pass(900)).includes('admit'), kinds(harness.pass(1_200)).includes('admit')]).to.deep.equal([false, true])
    })

    it('sends the same report with each retry of a flush', () => {
      const harness = boundedHarness()
      const first = fill(harness).last.find(action => action.kind === 'flush')
      harness.send({ kind: 'flushAnswered', seq: first?.seq ?? 0, outcome: { kind: 'unavailable' } })
      const again = harness.pass(policy.retryMs).find(action => action.kind === 'flush')
      expect(again).to.deep.equal(first)
    })
  })

  it('queries the table again immediately when the paid amount changes', () => {
    const harness = new Harness()
    const requested = harness.answer(harness.reserve('r1', 100), { kind: 'short', left: 0, elsewhere: 0, sentAt: { mono: 0, wall: 0 } })
    harness.send({ kind: 'transferAnswered', transferId: requested.find(action => action.kind === 'requestTransfer')?.transferId ?? '' })
    const before = harness.reserve('r2', 100)
    harness.send({ kind: 'paidChanged', budget: 'b', isLowered: false })
    expect([kinds(before), kinds(harness.reserve('r3', 100))]).to.deep.equal([['budgetSpent'], ['draw']])
  })

  it('returns its free tokens when the paid amount is lowered', () => {
    const harness = new Harness()
    harness.grant(harness.reserve('r1', 100), 1000)
    const flush = harness.send({ kind: 'paidChanged', budget: 'b', isLowered: true }).find(action => action.kind === 'flush')
    expect(flush?.returns).to.deep.equal([{ budget: 'b', tokens: 900 }])
  })
})
