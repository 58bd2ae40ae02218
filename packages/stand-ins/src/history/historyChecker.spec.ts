/** Guards against rules that miss a violation, by one bad history for each kind, or reject a valid history. */
import { expect } from 'chai'
import { checkHistory, historyRules } from './historyChecker.js'
import { parseHistory, renderHistory } from './historyFile.js'
import type { HistoryRecord, RecordOf } from './historyTypes.js'

const VM = 'vm1'
const HOLDER = 'vm1~a'

const asked = (at: number, overrides: Partial<RecordOf<'asked'>> = {}): HistoryRecord =>
  ({ kind: 'asked', at, ask: 'a1', requestId: 'r1', team: 't', digest: 'd', repeatable: true, vm: VM, ...overrides })
const ran = (at: number, overrides: Partial<RecordOf<'ran'>> = {}): HistoryRecord =>
  ({ kind: 'ran', at, requestId: 'r1', runner: 'e1', team: 't', budget: 'b', digest: 'd', holder: HOLDER, ...overrides })
const ended = (at: number, overrides: Partial<RecordOf<'ended'>> = {}): HistoryRecord =>
  ({ kind: 'ended', at, requestId: 'r1', runner: 'e1', state: 'finished', text: 'one two', tokens: 10, ...overrides })
const answered = (at: number, overrides: Partial<RecordOf<'answered'>> = {}): HistoryRecord =>
  ({ kind: 'answered', at, ask: 'a1', requestId: 'r1', text: 'one two', whole: true, ...overrides })
const refused = (at: number, overrides: Partial<RecordOf<'refused'>> = {}): HistoryRecord =>
  ({ kind: 'refused', at, ask: 'a1', requestId: 'r1', code: 'RS-201', ran: 'no', ...overrides })
const lost = (at: number): HistoryRecord => ({ kind: 'lost', at, ask: 'a1', requestId: 'r1', sent: true })
const paid = (at: number, tokens = 100): HistoryRecord => ({ kind: 'paid', at, budget: 'b', operationId: `o${at}`, tokens })
const billed = (at: number, overrides: Partial<RecordOf<'billed'>> = {}): HistoryRecord =>
  ({ kind: 'billed', at, requestId: 'r1', budget: 'b', tokens: 10, holder: HOLDER, ...overrides })
const settled = (at: number): HistoryRecord => ({ kind: 'settled', at })
const runnerLeaving = (at: number): HistoryRecord => ({ kind: 'runnerLeaving', at, runner: 'e1' })
const configAccepted = (at: number, version: number, patchId = `p${version}`): HistoryRecord => ({ kind: 'configAccepted', at, version, patchId })
const configInForce = (at: number, version: number, holder = HOLDER): HistoryRecord => ({ kind: 'configInForce', at, vm: VM, holder, version })
const vmStopping = (at: number): HistoryRecord => ({ kind: 'vmStopping', at, vm: VM, holder: HOLDER })
const vmStopped = (at: number, interrupted = 0): HistoryRecord => ({ kind: 'vmStopped', at, vm: VM, holder: HOLDER, interrupted })
const vmUp = (at: number): HistoryRecord => ({ kind: 'vmUp', at, vm: VM })
const vmDown = (at: number, cause: RecordOf<'vmDown'>['cause'] = 'killed'): HistoryRecord => ({ kind: 'vmDown', at, vm: VM, cause })
const leaseTaken = (at: number, fencing: number, holder: string): HistoryRecord => ({ kind: 'leaseTaken', at, role: 'writer', holder, fencing })
const leaseWrite = (at: number, fencing: number, holder: string): HistoryRecord => ({ kind: 'leaseWrite', at, role: 'writer', holder, fencing })

const servedRequest = [paid(0), asked(1), ran(2), ended(3), answered(4)]
const serviceCall = { budget: undefined, repeatable: false }

interface Case {
  readonly rule: string
  readonly name: string
  readonly history: readonly HistoryRecord[]
  readonly isViolation: boolean
}

const valid = (rule: string, name: string, ...history: HistoryRecord[]): Case => ({ rule, name, history, isViolation: false })
const violating = (rule: string, name: string, ...history: HistoryRecord[]): Case => ({ rule, name, history, isViolation: true })

const cases: readonly Case[] = [
  valid('noOverspend', 'bills within what was paid', ...servedRequest, billed(5)),
  valid('noOverspend', 'a top-up at the same moment', ran(1), ended(2), billed(3), paid(3, 10)),
  violating('noOverspend', 'bills beyond what was paid', paid(0, 9), asked(1), ran(2), ended(3), billed(4)),
  violating('noOverspend', 'bills before the top-up that would pay for them', paid(0, 5), ran(1), ended(2), billed(3), paid(4)),
  valid('noOverspend', 'a run that the engine lost is not billed', paid(0, 10), ran(1), ended(2, { state: 'cancelled' }), ran(3), ended(4), billed(5)),
  violating('noOverspend', 'bills and unbilled runs beyond what was paid', paid(0, 19), ran(1), ended(2), billed(3),
    ran(4, { requestId: 'r2' }), ended(5, { requestId: 'r2' })),
  violating('noOverspend', 'a budget that was never paid', ran(1), ended(2), billed(3)),

  valid('billedOnce', 'one bill with the tokens of the run', ...servedRequest, billed(5), settled(6)),
  valid('billedOnce', 'an application call costs no tokens', asked(1, { repeatable: false }), ran(2, { budget: undefined }), ended(3), answered(4), settled(6)),
  valid('billedOnce', 'not yet settled', ...servedRequest),
  valid('billedOnce', 'an over-reporting runner billed at its report', paid(0), ran(1), ended(2, { reportedTokens: 40 }), billed(3, { tokens: 40 })),
  valid('billedOnce', 'a bill of zero tokens for an answer that was cut', paid(0), asked(1), ran(2), ended(3, { state: 'cancelled' }), answered(4, { whole: false, text: 'one' }), billed(5, { tokens: 0 })),
  violating('billedOnce', 'a bill of zero tokens for a complete answer', ...servedRequest, billed(5, { tokens: 0 })),
  violating('billedOnce', 'billed twice', ...servedRequest, billed(5), billed(6)),
  violating('billedOnce', 'billed twice by two holders', ...servedRequest, billed(5), billed(6, { holder: 'vm2~b' })),
  violating('billedOnce', 'billed without a run', paid(0), asked(1), billed(2)),
  violating('billedOnce', 'billed before the run', paid(0), asked(1), billed(2), ran(3), ended(4)),
  violating('billedOnce', 'billed to another budget', paid(0), ...servedRequest, billed(5, { budget: 'c' })),
  violating('billedOnce', 'billed less than the run cost', ...servedRequest, billed(5, { tokens: 9 })),
  violating('billedOnce', 'billed more than the run cost', ...servedRequest, billed(5, { tokens: 11 })),
  violating('billedOnce', 'answered completely and never billed', ...servedRequest, settled(6)),
  violating('billedOnce', 'finished after its caller left and never billed', paid(0), asked(1), ran(2), ended(3), lost(4), settled(6)),

  valid('wholeOwnAnswer', 'the complete text', ...servedRequest),
  valid('wholeOwnAnswer', 'a cut answer that is a prefix of the run', asked(1), ran(2), ended(3), answered(4, { whole: false, text: 'one' })),
  valid('wholeOwnAnswer', 'two attempts joined one run', ...servedRequest, asked(5, { ask: 'a2' }), answered(6, { ask: 'a2' })),
  violating('wholeOwnAnswer', 'a partial answer marked as complete', asked(1), ran(2), ended(3), answered(4, { text: 'one' })),
  violating('wholeOwnAnswer', 'pieces out of order', asked(1), ran(2), ended(3), answered(4, { text: 'two one' })),
  violating('wholeOwnAnswer', 'a cancelled run marked as complete', asked(1), ran(2), ended(3, { state: 'cancelled' }), answered(4)),
  violating('wholeOwnAnswer', 'a piece of another answer', asked(1), ran(2), ended(3), answered(4, { text: 'one three', whole: false })),
  violating('wholeOwnAnswer', 'an answer without a run', asked(1), answered(4)),
  violating('wholeOwnAnswer', 'the answer of another request id', asked(1), ran(2, { requestId: 'r2' }), ended(3, { requestId: 'r2' }), answered(4, { requestId: 'r2' })),
  violating('wholeOwnAnswer', 'the answer to another body under the same key', asked(1, { digest: 'x' }), ran(2), ended(3), answered(4)),
  violating('wholeOwnAnswer', 'the answer to another team', asked(1, { team: 'u' }), ran(2), ended(3), answered(4)),
  violating('wholeOwnAnswer', 'an answer without a request', ran(2), ended(3), answered(4)),
  violating('wholeOwnAnswer', 'both answered and refused', ...servedRequest, refused(5)),

  valid('honestRefusal', 'refused and not run', asked(1), refused(2)),
  valid('honestRefusal', 'refused, then a repeat ran', asked(1), refused(2), asked(3, { ask: 'a2' }), ran(4), ended(5), answered(6, { ask: 'a2' })),
  valid('honestRefusal', 'a concurrent attempt at another VM ran', asked(1), asked(1, { ask: 'a2', vm: 'vm2' }), ran(2, { holder: 'vm2~b' }), refused(3)),
  valid('honestRefusal', 'refused as unknown', asked(1), ran(2), refused(3, { ran: 'unknown' })),
  violating('honestRefusal', 'ran before the refusal', asked(1), ran(2), refused(3)),
  violating('honestRefusal', 'ran after the refusal', asked(1), refused(2), ran(3)),
  violating('honestRefusal', 'ran at the refusing VM while another VM served a concurrent attempt', asked(1), asked(1, { ask: 'a2', vm: 'vm2' }), ran(2), refused(3), answered(4, { ask: 'a2' })),
  violating('honestRefusal', 'an application call that ran', asked(1), ran(2, { budget: undefined, holder: undefined }), refused(3)),

  valid('atMostOnce', 'ran once for two attempts', asked(1, serviceCall), ran(2), asked(3, { ...serviceCall, ask: 'a2' })),
  valid('atMostOnce', 'a repeatable request may run again', asked(1), ran(2), ran(3, { runner: 'e2' })),
  violating('atMostOnce', 'ran twice at one runner', asked(1, { repeatable: false }), ran(2), ran(3)),
  violating('atMostOnce', 'ran at two runners', asked(1, { repeatable: false }), ran(2), ran(3, { runner: 'e2' })),

  valid('leavingRunner', 'a run within the grace time', runnerLeaving(1), ran(4000)),
  valid('leavingRunner', 'a late run at another runner', runnerLeaving(1), ran(9000, { runner: 'e2' })),
  violating('leavingRunner', 'a run after the grace time', runnerLeaving(1), ran(5002)),

  valid('gracefulStop', 'the open request is answered', asked(1), ran(2), vmStopping(3), ended(4), answered(5), vmStopped(6)),
  valid('gracefulStop', 'an open request that had not run is refused', asked(1), vmStopping(3), refused(4), vmStopped(6)),
  valid('gracefulStop', 'killed while it stopped', asked(1), ran(2), vmStopping(3), vmDown(4), lost(5)),
  violating('gracefulStop', 'stopped with open requests', vmStopping(3), vmStopped(6, 1)),
  violating('gracefulStop', 'the connection was cut', asked(1), ran(2), vmStopping(3), lost(5), vmStopped(6)),
  violating('gracefulStop', 'the answer was cut', asked(1), ran(2), vmStopping(3), answered(5, { whole: false, text: 'one' }), vmStopped(6)),
  violating('gracefulStop', 'a running request was refused', asked(1), ran(2), vmStopping(3), refused(5, { ran: 'unknown' }), vmStopped(6)),
  violating('gracefulStop', 'no outcome', asked(1), ran(2), vmStopping(3), vmStopped(6), settled(7)),

  valid('configHolds', 'versions increase and propagate', vmUp(0), configInForce(1, 1), configAccepted(2, 2), configInForce(3, 2), settled(20000)),
  valid('configHolds', 'not reachable in time', vmUp(0), configAccepted(1, 2), vmDown(2, 'cut'), vmUp(20000), configInForce(20001, 2)),
  valid('configHolds', 'the table was down', vmUp(0), configAccepted(1, 2), { kind: 'tableDown', at: 2 }, { kind: 'tableUp', at: 20000 }, configInForce(20001, 2)),
  violating('configHolds', 'reverted within a process', configInForce(1, 3), configInForce(2, 2)),
  violating('configHolds', 'reverted across a restart', configInForce(1, 3), configInForce(2, 2, 'vm1~b')),
  violating('configHolds', 'in force before it was accepted', configAccepted(1, 2), configInForce(2, 3), configAccepted(3, 3)),
  violating('configHolds', 'never accepted', configAccepted(1, 2), configInForce(2, 3)),
  violating('configHolds', 'two patches accepted as one version', configAccepted(1, 2, 'p'), configAccepted(2, 2, 'q')),
  violating('configHolds', 'late on a live VM', vmUp(0), configAccepted(1, 2), configInForce(13000, 2), settled(13001)),
  violating('configHolds', 'late after a heal', vmUp(0), vmDown(1, 'cut'), configAccepted(2, 2), vmUp(3), settled(20000)),

  valid('fencedLease', 'each holder under its own number', leaseTaken(1, 1, 'x'), leaseWrite(2, 1, 'x'), leaseTaken(3, 2, 'y'), leaseWrite(4, 2, 'y')),
  valid('fencedLease', 'a write under an old number before the newer one is used', leaseTaken(1, 1, 'x'), leaseTaken(2, 2, 'y'), leaseWrite(3, 1, 'x'), leaseWrite(4, 2, 'y')),
  violating('fencedLease', 'an old number after a newer one', leaseWrite(1, 1, 'x'), leaseWrite(2, 2, 'y'), leaseWrite(3, 1, 'x')),
  violating('fencedLease', 'two holders of one number', leaseTaken(1, 1, 'x'), leaseTaken(2, 1, 'y'))
]

describe('history checker', () => {
  for (const { rule, name, history, isViolation } of cases) {
    it(`${rule} ${isViolation ? 'rejects' : 'accepts'}: ${name}`, () => {
      const reversed = [...history].reverse()
      const rules = checkHistory(reversed).map(violation => violation.rule)
      expect(rules.includes(rule)).to.equal(isViolation)
    })
  }

  it('covers each rule with a violating history', () => {
    const covered = new Set(cases.filter(item => item.isViolation).map(item => item.rule))
    expect([...covered].sort()).to.deep.equal(historyRules.map(rule => rule.name).sort())
  })

  it('accepts a complete valid history under all rules', () => {
    expect(checkHistory([vmUp(0), ...servedRequest, billed(5), settled(6)])).to.deep.equal([])
  })

  it('reports the first broken promise with the neighbouring records', () => {
    const [first] = checkHistory([...servedRequest, billed(5), billed(6), asked(7, { ask: 'a2' })])
    expect(first?.rule).to.equal('billedOnce')
    expect(first?.context).to.include.deep.members([billed(5), billed(6), asked(7, { ask: 'a2' })])
  })

  it('parses what it renders and reports the lines of malformed records', () => {
    expect(parseHistory(renderHistory(servedRequest)).extract()).to.deep.equal(servedRequest)
    const errors = parseHistory('\n{"kind":"ran"}\nnonsense\n').swap().map(failure => failure.errors).orDefault([])
    expect(errors.map(error => error.slice(0, 6))).to.deep.equal(['line 2', 'line 3'])
  })
})
