/** Guards against rules that miss a violation, by one bad history for each kind, or reject a valid history. */
import { expect } from 'chai'
import { checkHistory, historyRules } from './historyChecker.js'
import { parseHistory, renderHistory } from './historyFile.js'
import type { HistoryRecord, RecordOf } from './historyTypes.js'

const VM = 'vm1'
const HOLDER = 'vm1~a'

const asked = (at: number, over: Partial<RecordOf<'asked'>> = {}): HistoryRecord =>
  ({ kind: 'asked', at, ask: 'a1', requestId: 'r1', team: 't', digest: 'd', repeatable: true, vm: VM, ...over })
const ran = (at: number, over: Partial<RecordOf<'ran'>> = {}): HistoryRecord =>
  ({ kind: 'ran', at, requestId: 'r1', runner: 'e1', team: 't', budget: 'b', digest: 'd', holder: HOLDER, ...over })
const ended = (at: number, over: Partial<RecordOf<'ended'>> = {}): HistoryRecord =>
  ({ kind: 'ended', at, requestId: 'r1', runner: 'e1', state: 'finished', text: 'one two', tokens: 10, ...over })
const answered = (at: number, over: Partial<RecordOf<'answered'>> = {}): HistoryRecord =>
  ({ kind: 'answered', at, ask: 'a1', requestId: 'r1', text: 'one two', whole: true, ...over })
const refused = (at: number, over: Partial<RecordOf<'refused'>> = {}): HistoryRecord =>
  ({ kind: 'refused', at, ask: 'a1', requestId: 'r1', code: 'RS-201', ran: 'no', ...over })
const lost = (at: number): HistoryRecord => ({ kind: 'lost', at, ask: 'a1', requestId: 'r1', sent: true })
const paid = (at: number, tokens = 100): HistoryRecord => ({ kind: 'paid', at, budget: 'b', operationId: `o${at}`, tokens })
const billed = (at: number, over: Partial<RecordOf<'billed'>> = {}): HistoryRecord =>
  ({ kind: 'billed', at, requestId: 'r1', budget: 'b', tokens: 10, holder: HOLDER, ...over })
const settled = (at: number): HistoryRecord => ({ kind: 'settled', at })
const leaving = (at: number): HistoryRecord => ({ kind: 'runnerLeaving', at, runner: 'e1' })
const accepted = (at: number, version: number, patchId = `p${version}`): HistoryRecord => ({ kind: 'configAccepted', at, version, patchId })
const inForce = (at: number, version: number, holder = HOLDER): HistoryRecord => ({ kind: 'configInForce', at, vm: VM, holder, version })
const stopping = (at: number): HistoryRecord => ({ kind: 'vmStopping', at, vm: VM, holder: HOLDER })
const stopped = (at: number, interrupted = 0): HistoryRecord => ({ kind: 'vmStopped', at, vm: VM, holder: HOLDER, interrupted })
const up = (at: number): HistoryRecord => ({ kind: 'vmUp', at, vm: VM })
const down = (at: number, cause: RecordOf<'vmDown'>['cause'] = 'killed'): HistoryRecord => ({ kind: 'vmDown', at, vm: VM, cause })
const taken = (at: number, fencing: number, holder: string): HistoryRecord => ({ kind: 'leaseTaken', at, role: 'writer', holder, fencing })
const wrote = (at: number, fencing: number, holder: string): HistoryRecord => ({ kind: 'leaseWrite', at, role: 'writer', holder, fencing })

const served = [paid(0), asked(1), ran(2), ended(3), answered(4)]
const service = { budget: undefined, repeatable: false }

interface Case {
  readonly rule: string
  readonly name: string
  readonly history: readonly HistoryRecord[]
  readonly broken: boolean
}

const good = (rule: string, name: string, ...history: HistoryRecord[]): Case => ({ rule, name, history, broken: false })
const bad = (rule: string, name: string, ...history: HistoryRecord[]): Case => ({ rule, name, history, broken: true })

const cases: readonly Case[] = [
  good('noOverspend', 'bills within what was paid', ...served, billed(5)),
  good('noOverspend', 'a top-up at the same moment', ran(1), ended(2), billed(3), paid(3, 10)),
  bad('noOverspend', 'bills beyond what was paid', paid(0, 9), asked(1), ran(2), ended(3), billed(4)),
  bad('noOverspend', 'bills before the top-up that would pay for them', paid(0, 5), ran(1), ended(2), billed(3), paid(4)),
  good('noOverspend', 'a run that the engine lost is not billed', paid(0, 10), ran(1), ended(2, { state: 'cancelled' }), ran(3), ended(4), billed(5)),
  bad('noOverspend', 'bills and unbilled runs beyond what was paid', paid(0, 19), ran(1), ended(2), billed(3),
    ran(4, { requestId: 'r2' }), ended(5, { requestId: 'r2' })),
  bad('noOverspend', 'a budget that was never paid', ran(1), ended(2), billed(3)),

  good('billedOnce', 'one bill with the tokens of the run', ...served, billed(5), settled(6)),
  good('billedOnce', 'an application call costs no tokens', asked(1, { repeatable: false }), ran(2, { budget: undefined }), ended(3), answered(4), settled(6)),
  good('billedOnce', 'not yet settled', ...served),
  good('billedOnce', 'an over-reporting runner billed at its report', paid(0), ran(1), ended(2, { reportedTokens: 40 }), billed(3, { tokens: 40 })),
  good('billedOnce', 'a bill of zero tokens for an answer that was cut', paid(0), asked(1), ran(2), ended(3, { state: 'cancelled' }), answered(4, { whole: false, text: 'one' }), billed(5, { tokens: 0 })),
  bad('billedOnce', 'a bill of zero tokens for a complete answer', ...served, billed(5, { tokens: 0 })),
  bad('billedOnce', 'billed twice', ...served, billed(5), billed(6)),
  bad('billedOnce', 'billed twice by two holders', ...served, billed(5), billed(6, { holder: 'vm2~b' })),
  bad('billedOnce', 'billed without a run', paid(0), asked(1), billed(2)),
  bad('billedOnce', 'billed before the run', paid(0), asked(1), billed(2), ran(3), ended(4)),
  bad('billedOnce', 'billed to another budget', paid(0), ...served, billed(5, { budget: 'c' })),
  bad('billedOnce', 'billed less than the run cost', ...served, billed(5, { tokens: 9 })),
  bad('billedOnce', 'billed more than the run cost', ...served, billed(5, { tokens: 11 })),
  bad('billedOnce', 'answered completely and never billed', ...served, settled(6)),
  bad('billedOnce', 'finished after its caller left and never billed', paid(0), asked(1), ran(2), ended(3), lost(4), settled(6)),

  good('wholeOwnAnswer', 'the complete text', ...served),
  good('wholeOwnAnswer', 'a cut answer that is a prefix of the run', asked(1), ran(2), ended(3), answered(4, { whole: false, text: 'one' })),
  good('wholeOwnAnswer', 'two attempts joined one run', ...served, asked(5, { ask: 'a2' }), answered(6, { ask: 'a2' })),
  bad('wholeOwnAnswer', 'a partial answer marked as complete', asked(1), ran(2), ended(3), answered(4, { text: 'one' })),
  bad('wholeOwnAnswer', 'pieces out of order', asked(1), ran(2), ended(3), answered(4, { text: 'two one' })),
  bad('wholeOwnAnswer', 'a cancelled run marked as complete', asked(1), ran(2), ended(3, { state: 'cancelled' }), answered(4)),
  bad('wholeOwnAnswer', 'a piece of another answer', asked(1), ran(2), ended(3), answered(4, { text: 'one three', whole: false })),
  bad('wholeOwnAnswer', 'an answer without a run', asked(1), answered(4)),
  bad('wholeOwnAnswer', 'the answer of another request id', asked(1), ran(2, { requestId: 'r2' }), ended(3, { requestId: 'r2' }), answered(4, { requestId: 'r2' })),
  bad('wholeOwnAnswer', 'the answer to another body under the same key', asked(1, { digest: 'x' }), ran(2), ended(3), answered(4)),
  bad('wholeOwnAnswer', 'the answer to another team', asked(1, { team: 'u' }), ran(2), ended(3), answered(4)),
  bad('wholeOwnAnswer', 'an answer without a request', ran(2), ended(3), answered(4)),
  bad('wholeOwnAnswer', 'both answered and refused', ...served, refused(5)),

  good('honestRefusal', 'refused and not run', asked(1), refused(2)),
  good('honestRefusal', 'refused, then a repeat ran', asked(1), refused(2), asked(3, { ask: 'a2' }), ran(4), ended(5), answered(6, { ask: 'a2' })),
  good('honestRefusal', 'a concurrent attempt at another VM ran', asked(1), asked(1, { ask: 'a2', vm: 'vm2' }), ran(2, { holder: 'vm2~b' }), refused(3)),
  good('honestRefusal', 'refused as unknown', asked(1), ran(2), refused(3, { ran: 'unknown' })),
  bad('honestRefusal', 'ran before the refusal', asked(1), ran(2), refused(3)),
  bad('honestRefusal', 'ran after the refusal', asked(1), refused(2), ran(3)),
  bad('honestRefusal', 'ran at the refusing VM while another VM served a concurrent attempt', asked(1), asked(1, { ask: 'a2', vm: 'vm2' }), ran(2), refused(3), answered(4, { ask: 'a2' })),
  bad('honestRefusal', 'an application call that ran', asked(1), ran(2, { budget: undefined, holder: undefined }), refused(3)),

  good('atMostOnce', 'ran once for two attempts', asked(1, service), ran(2), asked(3, { ...service, ask: 'a2' })),
  good('atMostOnce', 'a repeatable request may run again', asked(1), ran(2), ran(3, { runner: 'e2' })),
  bad('atMostOnce', 'ran twice at one runner', asked(1, { repeatable: false }), ran(2), ran(3)),
  bad('atMostOnce', 'ran at two runners', asked(1, { repeatable: false }), ran(2), ran(3, { runner: 'e2' })),

  good('leavingRunner', 'a run within the grace time', leaving(1), ran(4000)),
  good('leavingRunner', 'a late run at another runner', leaving(1), ran(9000, { runner: 'e2' })),
  bad('leavingRunner', 'a run after the grace time', leaving(1), ran(5002)),

  good('gracefulStop', 'the open request is answered', asked(1), ran(2), stopping(3), ended(4), answered(5), stopped(6)),
  good('gracefulStop', 'an open request that had not run is refused', asked(1), stopping(3), refused(4), stopped(6)),
  good('gracefulStop', 'killed while it stopped', asked(1), ran(2), stopping(3), down(4), lost(5)),
  bad('gracefulStop', 'stopped with open requests', stopping(3), stopped(6, 1)),
  bad('gracefulStop', 'the connection was cut', asked(1), ran(2), stopping(3), lost(5), stopped(6)),
  bad('gracefulStop', 'the answer was cut', asked(1), ran(2), stopping(3), answered(5, { whole: false, text: 'one' }), stopped(6)),
  bad('gracefulStop', 'a running request was refused', asked(1), ran(2), stopping(3), refused(5, { ran: 'unknown' }), stopped(6)),
  bad('gracefulStop', 'no outcome', asked(1), ran(2), stopping(3), stopped(6), settled(7)),

  good('configHolds', 'versions increase and propagate', up(0), inForce(1, 1), accepted(2, 2), inForce(3, 2), settled(20000)),
  good('configHolds', 'not reachable in time', up(0), accepted(1, 2), down(2, 'cut'), up(20000), inForce(20001, 2)),
  good('configHolds', 'the table was down', up(0), accepted(1, 2), { kind: 'tableDown', at: 2 }, { kind: 'tableUp', at: 20000 }, inForce(20001, 2)),
  bad('configHolds', 'reverted within a process', inForce(1, 3), inForce(2, 2)),
  bad('configHolds', 'reverted across a restart', inForce(1, 3), inForce(2, 2, 'vm1~b')),
  bad('configHolds', 'in force before it was accepted', accepted(1, 2), inForce(2, 3), accepted(3, 3)),
  bad('configHolds', 'never accepted', accepted(1, 2), inForce(2, 3)),
  bad('configHolds', 'two patches accepted as one version', accepted(1, 2, 'p'), accepted(2, 2, 'q')),
  bad('configHolds', 'late on a live VM', up(0), accepted(1, 2), inForce(13000, 2), settled(13001)),
  bad('configHolds', 'late after a heal', up(0), down(1, 'cut'), accepted(2, 2), up(3), settled(20000)),

  good('fencedLease', 'each holder under its own number', taken(1, 1, 'x'), wrote(2, 1, 'x'), taken(3, 2, 'y'), wrote(4, 2, 'y')),
  good('fencedLease', 'a write under an old number before the newer one is used', taken(1, 1, 'x'), taken(2, 2, 'y'), wrote(3, 1, 'x'), wrote(4, 2, 'y')),
  bad('fencedLease', 'an old number after a newer one', wrote(1, 1, 'x'), wrote(2, 2, 'y'), wrote(3, 1, 'x')),
  bad('fencedLease', 'two holders of one number', taken(1, 1, 'x'), taken(2, 1, 'y'))
]

describe('history checker', () => {
  for (const { rule, name, history, broken } of cases) {
    it(`${rule} ${broken ? 'rejects' : 'accepts'}: ${name}`, () => {
      const reversed = [...history].reverse()
      const rules = checkHistory(reversed).map(violation => violation.rule)
      expect(rules.includes(rule)).to.equal(broken)
    })
  }

  it('covers each rule with a violating history', () => {
    const covered = new Set(cases.filter(item => item.broken).map(item => item.rule))
    expect([...covered].sort()).to.deep.equal(historyRules.map(rule => rule.name).sort())
  })

  it('accepts a complete valid history under all rules', () => {
    expect(checkHistory([up(0), ...served, billed(5), settled(6)])).to.deep.equal([])
  })

  it('reports the first broken promise with the neighbouring records', () => {
    const [first] = checkHistory([...served, billed(5), billed(6), asked(7, { ask: 'a2' })])
    expect(first?.rule).to.equal('billedOnce')
    expect(first?.around).to.include.deep.members([billed(5), billed(6), asked(7, { ask: 'a2' })])
  })

  it('parses what it renders and reports the lines of malformed records', () => {
    expect(parseHistory(renderHistory(served)).extract()).to.deep.equal(served)
    const errors = parseHistory('\n{"kind":"ran"}\nnonsense\n').swap().map(failure => failure.errors).orDefault([])
    expect(errors.map(error => error.slice(0, 6))).to.deep.equal(['line 2', 'line 3'])
  })
})
