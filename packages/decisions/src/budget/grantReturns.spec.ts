/**
 * Guards against granted tokens that lie unused at a holder while others refuse requests of their team, against urgent requests that
 * wait behind less urgent ones, and against tokens that are used twice when holders hand them back over links that lose,
 * duplicate and delay messages.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { BudgetLedger } from './budgetLedger.js'
import type { BudgetOwnership } from './budgetOwners.js'
import { defaultBudgetPolicy, type BudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent, GrantedTokens } from './budgetTypes.js'
import type { GrantPolicy } from './grantPolicy.js'

const policy: BudgetPolicy = {
  ...defaultBudgetPolicy, fairShareRatio: 0.1, boundsUnreportedUse: true, demandSource: 'reservations', flushMs: 100, horizonMs: 10_000, rateWindowMs: 3_000, unreachableWaitMs: 30, grantAfterMs: 20
}
const grantPolicy: GrantPolicy = { handBackAfterMs: 1_000, maxAskPauseMs: 160, urgentHoldMs: 60 }
const HELD = 50_000
/** Allowance of the first report of this allotment. */
const ALLOWED = 5_000
const BUSY_REQUESTS = 20
const BUSY_TOKENS = 10
const isOwner = (holder: string): boolean => holder.startsWith('owner')
const ownership: BudgetOwnership = { owns: isOwner, count: 2 }

class Holder {
  readonly ledger: BudgetLedger
  mono = 0

  /** @param isAllotted - whether it draws an allotment before others become the owners */
  constructor (name: string, grants: GrantPolicy | undefined = grantPolicy, isAllotted = false) {
    let isDrawing = isAllotted
    this.ledger = new BudgetLedger(name, policy, { ...ownership, owns: holder => isOwner(holder) || (isDrawing && holder === name) }, () => grants)
    const draw = this.send({ kind: 'prepare', budget: 'b' }).find(action => action.kind === 'draw')
    if (draw !== undefined) this.send({ kind: 'drawAnswered', drawId: draw.drawId, outcome: { kind: 'granted', tokens: HELD, left: 0, sentAt: this.now } })
    isDrawing = false
  }

  get now (): { readonly mono: number, readonly wall: number } {
    return { mono: this.mono, wall: this.mono }
  }

  send (event: BudgetEvent): readonly BudgetAction[] {
    return this.ledger.handle(event, this.now)
  }

  pass (ms: number): readonly BudgetAction[] {
    this.mono += ms
    return this.send({ kind: 'tick' })
  }

  accept (tokens: number, budget = 'b'): readonly BudgetAction[] {
    return this.send({ kind: 'handoverReceived', budget, tokens })
  }

  reserve (reservationId: string, tokens: number, priority = 0): readonly BudgetAction[] {
    return this.send({ kind: 'reserve', reservationId, budget: 'b', tokens, giveUpAfterMs: 200, priority })
  }

  settle (reservationId: string, tokens: number): readonly BudgetAction[] {
    return this.send({ kind: 'settle', reservationId, bill: { requestId: reservationId, budget: 'b', team: 't', tokens, runner: 'r' } })
  }

  grant (tokens: number, priority?: number): number {
    const answer = this.send({ kind: 'grantRequested', giftId: 'g', budget: 'b', tokens, to: 'other', ...(priority === undefined ? {} : { priority }) }).find(action => action.kind === 'answerGrant')
    return answer?.tokens ?? 0
  }
}

const handedBack = (actions: readonly BudgetAction[]): readonly GrantedTokens[] => actions.flatMap(action => action.kind === 'handBack' ? action.grants : [])
const admitted = (actions: readonly BudgetAction[]): readonly string[] => actions.flatMap(action => action.kind === 'admit' ? [action.reservationId] : [])
const returnedTokens = (actions: readonly BudgetAction[]): number => actions.flatMap(action => action.kind === 'flush' ? action.returns : []).reduce((sum, { tokens }) => sum + tokens, 0)
const asks = (actions: readonly BudgetAction[]): readonly BudgetAction[] => actions.filter(action => action.kind === 'requestGrant')

/** Sends as many small requests as let a holder draw ahead of need. */
function beBusy (holder: Holder): void {
  for (let index = 0; index < BUSY_REQUESTS; index += 1) holder.reserve(`busy${index}`, BUSY_TOKENS)
}

describe('granted tokens that are not used', () => {
  const returns: ReadonlyArray<{ readonly name: string, readonly holder?: string, readonly grants?: GrantPolicy | null, readonly play: (holder: Holder) => readonly BudgetAction[], readonly back: readonly GrantedTokens[] }> = [
    { name: 'all that no request used for the whole period', play: holder => { holder.accept(700); return [holder.pass(1_000), holder.pass(1_000)].flat() }, back: [{ budget: 'b', tokens: 700 }] },
    { name: 'those of several budgets in one action', play: holder => { holder.accept(700); holder.accept(50, 'c'); return [holder.pass(1_000), holder.pass(1_000)].flat() }, back: [{ budget: 'b', tokens: 700 }, { budget: 'c', tokens: 50 }] },
    { name: 'nothing before the period is over', play: holder => { holder.accept(700); return [holder.pass(1_000), holder.pass(900)].flat() }, back: [] },
    { name: 'nothing that requests use again and again', play: holder => { holder.accept(700); return [holder.pass(1_000), holder.reserve('r1', 700), holder.settle('r1', 10), holder.pass(1_000)].flat() }, back: [] },
    { name: 'nothing that a waiting request counts on', play: holder => { holder.accept(700); return [holder.pass(1_000), holder.reserve('r1', 900), holder.pass(1_000)].flat() }, back: [] },
    { name: 'what exceeds the use of the period', play: holder => { holder.accept(700); return [holder.pass(1_000), holder.reserve('r1', 200), holder.settle('r1', 10), holder.pass(1_000)].flat() }, back: [{ budget: 'b', tokens: 500 }] },
    { name: 'nothing at an owner', holder: 'owner1', play: holder => { holder.accept(700); return [holder.pass(1_000), holder.pass(1_000)].flat() }, back: [] },
    { name: 'nothing without the policy', grants: null, play: holder => { holder.accept(700); return [holder.pass(1_000), holder.pass(1_000)].flat() }, back: [] }
  ]
  for (const { name, holder = 'vm1~a', grants = grantPolicy, play, back } of returns) {
    it(`a holder hands back ${name}`, () => {
      const ledger = new Holder(holder, grants ?? undefined)
      if (grants === null) Object.assign(ledger, { ledger: new BudgetLedger(holder, policy, ownership) })
      ledger.pass(1)
      expect(handedBack(play(ledger))).to.deep.equal(back)
    })
  }

  it('an owner grants tokens that were handed back before it bills its own', () => {
    const owner = new Holder('owner1')
    owner.accept(700)
    expect([owner.grant(700), owner.ledger.view('b')?.unsettled]).to.deep.equal([700, 0])
  })
})

describe('allotted tokens of a holder that no other asks', () => {
  it('are named to an owner with the next message', () => {
    const holder = new Holder('vm1~a', grantPolicy, true)
    beBusy(holder)
    expect(handedBack(holder.pass(1_000))).to.deep.equal([{ budget: 'b', tokens: 0, isAllotted: true }])
  })

  it('are not named by an owner', () => {
    const owner = new Holder('owner1')
    beBusy(owner)
    expect(handedBack(owner.pass(1_000))).to.deep.equal([])
  })

  it('are not named where the next requests need them', () => {
    const holder = new Holder('vm1~a', grantPolicy, true)
    beBusy(holder)
    holder.reserve('r1', 90_000)
    holder.send({ kind: 'withdraw', reservationId: 'r1' })
    expect(handedBack(holder.pass(1_000))).to.deep.equal([])
  })

  it('go to a short owner as far as they may be used, the rest to the table, all but those of the next requests', () => {
    const holder = new Holder('vm1~a', grantPolicy, true)
    holder.reserve('r1', 1_000)
    const actions = [...holder.send({ kind: 'ownerShort', budget: 'b' }), ...holder.pass(200)]
    const [grant] = handedBack(actions)
    const kept = HELD - 1_000 - (grant?.tokens ?? 0) - returnedTokens(actions)
    expect([grant, kept >= 1_000 && kept < 5_000]).to.deep.equal([{ budget: 'b', tokens: ALLOWED - 1_000 }, true])
  })

  const refusals: ReadonlyArray<{ readonly name: string, readonly isAllotted: boolean, readonly prepare?: (holder: Holder) => void }> = [
    { name: 'while a request waits here', isAllotted: true, prepare: holder => { holder.reserve('r1', 90_000) } },
    { name: 'while draining', isAllotted: true, prepare: holder => { holder.send({ kind: 'drain' }) } },
    { name: 'without an allotment', isAllotted: false }
  ]
  for (const { name, isAllotted, prepare } of refusals) {
    it(`are not given up ${name}`, () => {
      const [told, other] = [0, 1].map(() => {
        const holder = new Holder('vm1~a', grantPolicy, isAllotted)
        prepare?.(holder)
        return holder
      }) as [Holder, Holder]
      const actions = [...told.send({ kind: 'ownerShort', budget: 'b' }), ...told.pass(100)]
      expect([handedBack(actions), returnedTokens(actions)]).to.deep.equal([[], returnedTokens(other.pass(100))])
    })
  }

  const shortages: ReadonlyArray<{ readonly name: string, readonly left: boolean, readonly asked: number, readonly afterMs: number, readonly short: boolean }> = [
    { name: 'short after a request that it could not meet', left: false, asked: 90_000, afterMs: 100, short: true },
    { name: 'not short once that is long ago', left: false, asked: 90_000, afterMs: 1_100, short: false },
    { name: 'not short while it meets requests', left: false, asked: 500, afterMs: 100, short: false },
    { name: 'not short while the table has tokens', left: true, asked: 90_000, afterMs: 100, short: false }
  ]
  for (const { name, left, asked, afterMs, short } of shortages) {
    it(`an owner is ${name}`, () => {
      const owner = new Holder('owner1')
      const draw = owner.reserve('r1', 90_000).find(action => action.kind === 'draw')
      owner.send({ kind: 'withdraw', reservationId: 'r1' })
      expect(draw?.kind).to.equal('draw')
      if (draw !== undefined && !left) owner.send({ kind: 'drawAnswered', drawId: draw.drawId, outcome: { kind: 'short', left: 0, elsewhere: 0, unspent: 100_000, sentAt: owner.now } })
      owner.grant(asked)
      owner.mono += afterMs
      expect(owner.ledger.isShort('b', owner.now)).to.equal(short)
    })
  }
})

describe('scarce tokens', () => {
  it('go to the more urgent of the waiting requests', () => {
    const holder = new Holder('vm1~a')
    holder.reserve('r1', 3_000, 2)
    holder.reserve('r2', 3_000, 0)
    expect(admitted(holder.accept(3_000))).to.deep.equal(['r2'])
  })

  const passes: ReadonlyArray<{ readonly name: string, readonly priority: number, readonly waitedMs: number, readonly admitted: readonly string[] }> = [
    { name: 'passes an equally urgent one that does not fit', priority: 0, waitedMs: 0, admitted: ['r2'] },
    { name: 'does not pass a more urgent one at first', priority: 1, waitedMs: 10, admitted: [] },
    { name: 'passes a more urgent one that waits in vain', priority: 1, waitedMs: 70, admitted: ['r2'] }
  ]
  for (const { name, priority, waitedMs, admitted: expected } of passes) {
    it(`a smaller request ${name}`, () => {
      const holder = new Holder('vm1~a')
      holder.accept(1_000)
      const actions = [holder.reserve('r1', 9_000, 0), holder.reserve('r2', 800, priority), holder.pass(waitedMs)].flat()
      expect(admitted(actions)).to.deep.equal(expected)
    })
  }

  it('go to a less urgent request in the end, however many more urgent ones lack some', () => {
    const holder = new Holder('vm1~a')
    holder.accept(1_000)
    const actions = [...holder.reserve('urgent', 9_000, 0), ...holder.reserve('late', 800, 1)]
    for (let index = 0; index < 4; index += 1) actions.push(...holder.pass(40), ...holder.reserve(`urgent${index}`, 9_000, 0))
    expect(admitted(actions)).to.deep.equal(['late'])
  })

  const grants: ReadonlyArray<{ readonly name: string, readonly asks: ReadonlyArray<readonly [afterMs: number, tokens: number, priority: number]>, readonly granted: readonly number[] }> = [
    { name: 'keeps tokens for a more urgent holder that lacks some', asks: [[0, 4_000, 0], [0, 6_000, 0], [10, 500, 2]], granted: [4_000, 1_000, 0] },
    { name: 'grants the rest to one that is as urgent', asks: [[0, 90_000, 0], [0, 500, 0]], granted: [5_000, 0] },
    { name: 'grants what more urgent ones do not lack', asks: [[0, 4_000, 0], [10, 500, 2]], granted: [4_000, 500] }
  ]
  for (const { name, asks: list, granted } of grants) {
    it(`an owner ${name}`, () => {
      const owner = new Holder('owner1')
      expect(list.map(([afterMs, tokens, priority]) => { owner.mono += afterMs; return owner.grant(tokens, priority) })).to.deep.equal(granted)
    })
  }

  const returned: ReadonlyArray<{ readonly name: string, readonly priority?: number, readonly afterMs: number, readonly granted: number }> = [
    { name: 'keeps tokens that come back for a more urgent holder', afterMs: 10, granted: 0 },
    { name: 'grants them to one that is as urgent', priority: 0, afterMs: 10, granted: 500 },
    { name: 'grants them to a less urgent holder once that took too long', afterMs: 70, granted: 500 }
  ]
  for (const { name, priority = 1, afterMs, granted } of returned) {
    it(`an owner ${name}`, () => {
      const owner = new Holder('owner1')
      owner.grant(9_000, 0)
      owner.accept(800)
      owner.mono += afterMs
      expect(owner.grant(500, priority)).to.equal(granted)
    })
  }

  it('an owner keeps tokens for a bounded time, however often more urgent holders ask for too many', () => {
    const owner = new Holder('owner1')
    const granted: number[] = []
    for (const [tokens, priority] of [[9_000, 0], [100, 0], [9_000, 0], [500, 1]] as const) {
      owner.accept(600)
      owner.mono += 50
      granted.push(owner.grant(tokens, priority))
    }
    expect(granted.at(-1)).to.equal(500)
  })

  it('an owner with a waiting request grants to a more urgent holder only', () => {
    const owner = new Holder('owner1')
    owner.reserve('r1', 9_000, 1)
    expect([owner.grant(500, 1), owner.grant(500, 0)]).to.deep.equal([0, 500])
  })

  it('a holder asks less and less often while owners have nothing', () => {
    const holder = new Holder('vm1~a')
    const times: number[] = []
    const run = (actions: readonly BudgetAction[]): void => {
      for (const action of asks(actions)) {
        if (action.kind !== 'requestGrant') continue
        times.push(holder.mono)
        run(holder.send({ kind: 'grantAnswered', giftId: action.giftId, budget: 'b', tokens: 0, isReached: true }))
      }
    }
    for (let index = 0; index < 8; index += 1) run([holder.reserve(`r${index}`, 900), ...Array.from({ length: 10 }, () => holder.pass(10))].flat())
    expect(times.length).to.be.within(5, 8)
  })
})

describe('budgets whose holders hand tokens back', () => {
  /**
   * Two owners, a holder with an allotment that it does not own and that it gives up when owners are short, and two others. Grants and handed back tokens are lost, arrive late or are refused by a cut link, holders
   * end, and answers are doubled. Less than a second of growth passes, so everything that all holders admit, what could still be admitted and what was lost stays
   * within what recovery bills for those with an allotment.
   */
  it('use no token twice in any order of messages, cuts and ends', () => {
    const step = fc.record({ holder: fc.nat(2), owner: fc.nat(1), tokens: fc.integer({ min: 1, max: 4_000 }), used: fc.nat(100), priority: fc.nat(2), ms: fc.nat(15), fate: fc.constantFrom('arrives', 'lost', 'answerLost', 'doubled', 'late', 'ends', 'ownerEnds') })
    fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), steps => {
      const play = new Play()
      steps.forEach((item, number) => { play.step(item, `r${number}`) })
      play.deliverAll()
      return play.used + play.usable + play.lost <= 3 * ALLOWED
    }), { seed: 11, numRuns: 500 })
  })
})

interface PlayStep { readonly holder: number, readonly owner: number, readonly tokens: number, readonly used: number, readonly priority: number, readonly ms: number, readonly fate: string }

/** Model of two owners, one other holder with an allotment and two without; periods are short so that tokens move back and forth. */
class Play {
  private readonly owners = ['owner1', 'owner2'].map(name => new Holder(name, { ...grantPolicy, handBackAfterMs: 20 }))
  private readonly others = ['vm1~a', 'vm2~a', 'vm3~a'].map((name, index) => new Holder(name, { ...grantPolicy, handBackAfterMs: 20 }, index === 0))
  private readonly ended = new Set<Holder>()
  private readonly open = new Map<string, { readonly holder: Holder, readonly tokens: number }>()
  private late: Array<{ readonly to: Holder, readonly tokens: number }> = []
  used = BUSY_REQUESTS * BUSY_TOKENS
  /** Tokens in messages that did not arrive. */
  lost = 0

  constructor () {
    beBusy(this.others[0]!)
  }

  step ({ holder: index, owner: ownerIndex, tokens, used, priority, ms, fate }: PlayStep, id: string): void {
    const holder = this.others[index]!
    const owner = this.owners[ownerIndex]!
    if (this.ended.has(holder)) return
    this.open.set(id, { holder, tokens })
    // Time stands still at owners, whose allowance would grow.
    const actions = [...holder.reserve(id, tokens, priority), ...holder.pass(ms)]
    this.perform(holder, owner, actions, fate)
    this.perform(holder, owner, this.endOne(holder, used), fate)
    if (fate === 'late') this.deliverAll()
    if (fate === 'ends') this.ended.add(holder)
    if (fate === 'ownerEnds') this.ended.add(owner)
  }

  deliverAll (): void {
    const { late } = this
    this.late = []
    for (const { to, tokens } of late) if (!this.ended.has(to)) this.note(to, to.accept(tokens))
  }

  /** Tokens that owners and other holders that did not end could still admit. */
  get usable (): number {
    return [...this.owners, ...this.others].filter(holder => !this.ended.has(holder)).reduce((sum, holder) => {
      // A holder grants nothing that a request of its own waits for.
      for (const id of this.open.keys()) if (!this.running.has(id)) holder.send({ kind: 'withdraw', reservationId: id })
      return sum + holder.grant(90_000)
    }, 0)
  }

  private perform (holder: Holder, owner: Holder, actions: readonly BudgetAction[], fate: string): void {
    this.note(holder, actions)
    for (const action of actions) {
      if (action.kind === 'handBack') this.handBack(holder, owner, action.grants, fate)
      if (action.kind === 'requestGrant') this.ask(holder, owner, action, fate)
    }
  }

  private ask (holder: Holder, owner: Holder, { giftId, tokens, priority }: Extract<BudgetAction, { kind: 'requestGrant' }>, fate: string): void {
    const granted = fate === 'lost' || this.ended.has(owner) ? 0 : owner.grant(tokens, priority)
    if (fate === 'late') this.late.push({ to: holder, tokens: granted })
    if (fate === 'answerLost') this.lost += granted
    const answer = { kind: 'grantAnswered' as const, giftId, budget: 'b', tokens: fate === 'answerLost' || fate === 'late' ? 0 : granted, isReached: true }
    for (const event of fate === 'doubled' ? [answer, answer] : [answer]) this.perform(holder, owner, holder.send(event), 'lost')
  }

  private handBack (holder: Holder, owner: Holder, grants: readonly GrantedTokens[], fate: string): void {
    for (const { tokens, isAllotted } of grants) {
      if (isAllotted === true && fate === 'arrives') this.perform(holder, owner, holder.send({ kind: 'ownerShort', budget: 'b' }), 'arrives')
      if (fate === 'late') this.late.push({ to: owner, tokens })
      else if (fate === 'lost') this.note(holder, holder.accept(tokens))
      else if (fate === 'answerLost' || this.ended.has(owner)) this.lost += tokens
      else this.note(owner, owner.accept(tokens))
    }
  }

  /** Ends the oldest request of a holder with a share of what it reserved; unfinished ones count in full. */
  private endOne (holder: Holder, percent: number): readonly BudgetAction[] {
    for (const [id, { holder: at, tokens }] of this.open) {
      if (at !== holder || !this.running.has(id)) continue
      this.open.delete(id)
      const billed = Math.floor(tokens * percent / 100)
      this.used -= tokens - billed
      return holder.settle(id, billed)
    }
    return []
  }

  private readonly running = new Set<string>()

  private note (holder: Holder, actions: readonly BudgetAction[]): void {
    for (const id of admitted(actions)) {
      this.running.add(id)
      this.used += this.open.get(id)?.tokens ?? 0
    }
  }
}
