/**
 * A call that may not be repeated runs at most once, whatever happens to the claim, the VM or the runner, and callers
 * get a correct answer about its outcome.
 */
import { expect } from 'chai'
import { Right, type Either } from 'purify-ts'
import type { ServiceAnswer } from '@rosemaryspread/callers/completion/completionTypes.js'
import { failureOf, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'
import { keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { ClaimStore, type ClaimOutcome, type ClaimRow } from 'rosemaryspread/service/serviceClaim.js'
import { applicationAddresses, createServiceFleet, type ServiceFleet } from './serviceFakes.spec.js'

const PAUSE_MS = 60_000

type CallResult = 'answered' | 'repeated' | readonly [code: ResultName, ran: string]

function resultOf (answer: Either<Failure, ServiceAnswer>): CallResult {
  const failure = failureOf(answer)
  if (failure !== undefined) return [failure.code, failure.ran]
  return answer.map(({ repeated }) => repeated).extract() === true ? 'repeated' : 'answered'
}

/** Starts an outage of the table right after the effect of the next write. */
function outageAfterWrite (fleet: ServiceFleet): void {
  fleet.a.table.loseAnswers = 1
  fleet.a.table.beforeCall = async operation => {
    if (operation === 'read') fleet.a.table.outage = true
  }
}

function healTable (fleet: ServiceFleet): void {
  fleet.a.table.beforeCall = async () => {}
  fleet.a.table.outage = false
}

/** Pauses the VM while it waits for the answer of its claim. */
function pauseDuringClaim (fleet: ServiceFleet): void {
  fleet.a.table.beforeCall = async operation => {
    if (operation === 'transact') fleet.a.clock.jumpedMs += PAUSE_MS
    fleet.a.table.beforeCall = async () => {}
  }
}

interface FaultCase {
  readonly name: string
  readonly arrange: (fleet: ServiceFleet) => void
  readonly heal?: (fleet: ServiceFleet) => void
  readonly first: CallResult
  /** Result of a repeated call at the other VM, after all faults have ended. */
  readonly repeat: CallResult
  readonly executions: number
}

const allUnreachable = ({ applications }: ServiceFleet): void => {
  applicationAddresses.forEach(address => applications.faults.set(address, 'unreachable'))
}
const healRunners = ({ applications }: ServiceFleet): void => { applications.faults.clear() }

const faults: readonly FaultCase[] = [
  { name: 'no fault', arrange: () => {}, first: 'answered', repeat: 'repeated', executions: 1 },
  { name: 'an outage of the table', arrange: ({ a }) => { a.table.outage = true }, heal: healTable, first: ['notClaimed', 'no'], repeat: 'answered', executions: 1 },
  { name: 'a lost answer of the claim', arrange: ({ a }) => { a.table.loseAnswers = 1 }, first: 'answered', repeat: 'repeated', executions: 1 },
  { name: 'a lost request of the claim', arrange: ({ a }) => { a.table.loseRequests = 1 }, first: ['notClaimed', 'no'], repeat: 'answered', executions: 1 },
  { name: 'a lost answer of the claim, followed by an outage of the table', arrange: outageAfterWrite, heal: healTable, first: ['notClaimed', 'no'], repeat: 'answered', executions: 1 },
  { name: 'a pause between claim and dispatch', arrange: pauseDuringClaim, first: ['notClaimed', 'no'], repeat: 'answered', executions: 1 },
  { name: 'one unreachable runner', arrange: ({ applications }) => { applications.faults.set(applicationAddresses[0], 'unreachable') }, first: 'answered', repeat: 'repeated', executions: 1 },
  { name: 'no reachable runner', arrange: allUnreachable, heal: healRunners, first: ['runnerUnreachable', 'no'], repeat: 'answered', executions: 1 },
  { name: 'a runner that crashes during the call', arrange: ({ applications }) => { applications.faults.set(applicationAddresses[0], 'crashesDuringCall') }, heal: healRunners, first: ['runnerUnreachable', 'unknown'], repeat: ['claimOutcomeUnknown', 'unknown'], executions: 1 },
  { name: 'a lost answer of the write of the outcome', arrange: ({ a }) => { a.table.beforeCall = async () => { if (a.table.calls.transact === 2) a.table.loseAnswers = 1 } }, first: 'answered', repeat: 'repeated', executions: 1 }
]

describe('log lines of a call', () => {
  const id = 'f00d'
  const keyed = keyedRequestId('desk', 'k')
  const attempt = (runner: string, ran: string, retried: boolean): object => ({ event: 'attemptFailed', request: keyed, runner, ran, retried })
  const cases: ReadonlyArray<{ readonly name: string, readonly arrange: (fleet: ServiceFleet) => void, readonly key: string | null, readonly lines: readonly object[] }> = [
    { name: 'refused for a missing key', arrange: () => {}, key: null, lines: [{ event: 'requestRefused', request: id, ran: 'no' }] },
    { name: 'refused by a draining VM', arrange: ({ a }) => { a.work.draining = true }, key: null, lines: [{ event: 'requestRefused', request: id, ran: 'no' }] },
    { name: 'that no runner accepts', arrange: allUnreachable, key: 'k', lines: [attempt('app1', 'no', true), attempt('app2', 'no', true), { event: 'requestRefused', request: keyed, ran: 'no' }] },
    { name: 'whose runner crashes', arrange: ({ applications }) => { applications.faults.set(applicationAddresses[0], 'crashesDuringCall') }, key: 'k', lines: [attempt('app1', 'unknown', false), { event: 'requestFailed', request: keyed, ran: 'unknown' }] }
  ]
  for (const { name, arrange, key, lines } of cases) {
    it(`${name} carry the id that the caller reads`, async () => {
      const fleet = createServiceFleet()
      arrange(fleet)
      await fleet.a.dispatch(key, 'to Rosa', '/dispatch', id)
      const failed = fleet.a.lines.filter(({ event }) => ['attemptFailed', 'requestRefused', 'requestFailed'].includes(String(event)))
      const shown = failed.map(({ event, request, runner, ran, retried }) => event === 'attemptFailed' ? { event, request, runner, ran, retried } : { event, request, ran })
      expect(shown).to.deep.equal(lines)
    })
  }
})

describe('a call that may not be repeated', () => {
  for (const { name, arrange, heal, first, repeat, executions } of faults) {
    it(`under ${name}`, async () => {
      const fleet = createServiceFleet()
      arrange(fleet)
      expect(resultOf(await fleet.a.dispatch())).to.deep.equal(first)
      heal?.(fleet)
      await fleet.a.work.waitUntilIdle(5_000)
      expect(resultOf(await fleet.b.dispatch())).to.deep.equal(repeat)
      expect(fleet.applications.executions).to.have.length(executions)
    })
  }

  it('sent to two VMs at the same time runs once, and no answer says that it did not run', async () => {
    const { a, b, applications } = createServiceFleet()
    const answers = (await Promise.all([a.dispatch(), b.dispatch(), a.dispatch(), b.dispatch()])).map(resultOf)
    expect(applications.executions).to.have.length(1)
    expect(answers.filter(answer => answer === 'answered')).to.have.length(1)
    answers.filter(answer => typeof answer !== 'string').forEach(([code, ran]) => { expect([code, ran]).to.deep.equal(['claimOutcomeUnknown', 'unknown']) })
  })

  const unseenClaims: ReadonlyArray<{ readonly name: string, readonly arrange: (fleet: ServiceFleet) => Promise<void> }> = [
    {
      name: 'cannot be read',
      arrange: async ({ a, b }) => {
        await a.dispatch()
        b.table.beforeCall = async operation => { b.table.outage = operation === 'read' }
      }
    },
    {
      name: 'replaces an abandoned one meanwhile',
      arrange: async fleet => {
        const { a, b } = fleet
        allUnreachable(fleet)
        await a.dispatch()
        await a.work.waitUntilIdle(1_000)
        healRunners(fleet)
        b.table.beforeCall = async operation => { if (operation === 'transact' && b.table.calls.transact === 2) await a.dispatch() }
      }
    }
  ]
  for (const { name, arrange } of unseenClaims) {
    it(`whose claim by another VM ${name} isn't reported as not run`, async () => {
      const fleet = createServiceFleet()
      await arrange(fleet)
      expect((await fleet.b.dispatch()).extract()).to.include({ code: 'claimOutcomeUnknown', ran: 'unknown' })
      expect(fleet.applications.executions).to.have.length(1)
    })
  }

  it('whose VM crashed after the claim is never run by another VM, and a repeat gets an unknown outcome', async () => {
    const { a, b, applications } = createServiceFleet()
    await b.dispatch()
    const requestId = applications.executions[0] ?? ''
    const key = { table: 'claims', key: requestId }
    const [row] = (await a.table.read([key])).unsafeCoerce().rows
    const claimed = { ...row?.value as ClaimRow, holder: 'dead~1', state: 'claimed' }
    await a.table.transact({ checks: [], writes: [{ ...key, value: claimed }] })
    expect(resultOf(await a.dispatch())).to.deep.equal(['claimOutcomeUnknown', 'unknown'])
    expect(applications.executions).to.have.length(1)
  })

  const misuses: ReadonlyArray<{ readonly name: string, readonly send: (fleet: ServiceFleet) => Promise<Either<Failure, ServiceAnswer>>, readonly code: ResultName }> = [
    { name: 'no key', send: async ({ a }) => await a.dispatch(null), code: 'keyRequired' },
    { name: 'a key used for another body', send: async ({ b }) => await b.dispatch('k', 'to Juan'), code: 'keyReused' }
  ]
  for (const { name, send, code } of misuses) {
    it(`with ${name} is refused and not run`, async () => {
      const fleet = createServiceFleet()
      await fleet.a.dispatch()
      expect(resultOf(await send(fleet))).to.deep.equal([code, 'no'])
      expect(fleet.applications.executions).to.have.length(1)
    })
  }

  it('is not confused with one that may be repeated', async () => {
    const { a, applications } = createServiceFleet()
    applications.faults.set(applicationAddresses[0], 'crashesDuringCall')
    expect(resultOf(await a.dispatch('k', 'x', '/status'))).to.equal('answered')
    expect(applications.executions, 'the second runner executed it').to.have.length(2)
  })
})

/** Faulty: proceeds if the outcome of the claim is unknown. */
class OptimisticClaims extends ClaimStore {
  override async claim (wanted: ClaimRow): Promise<Either<Failure, ClaimOutcome>> {
    const claimed = await super.claim(wanted)
    return failureOf(claimed) === undefined ? claimed : Right({ kind: 'held', claim: { row: wanted, version: 0 } })
  }
}

/** Faulty: takes over unfinished claims of another VM, as an expiring lock does. */
class ExpiringClaims extends ClaimStore {
  override async claim (wanted: ClaimRow): Promise<Either<Failure, ClaimOutcome>> {
    const claimed = await super.claim(wanted)
    return claimed.map(outcome => outcome.kind === 'found' && outcome.row.state === 'claimed' ? { kind: 'held', claim: { row: wanted, version: 0 } } : outcome)
  }
}

describe('faulty claims run a call twice', () => {
  const faultyClaims: ReadonlyArray<{ readonly name: string, readonly claims: (table: TableStore) => ClaimStore, readonly arrange: (fleet: ServiceFleet) => void }> = [
    { name: 'a claim that proceeds without an answer', claims: table => new OptimisticClaims(table), arrange: ({ a }) => { a.table.outage = true } },
    { name: 'a claim that expires', claims: table => new ExpiringClaims(table), arrange: ({ applications }) => { applications.faults.set(applicationAddresses[0], 'crashesDuringCall') } }
  ]
  for (const { name, claims, arrange } of faultyClaims) {
    it(name, async () => {
      const fleet = createServiceFleet(claims)
      arrange(fleet)
      await fleet.a.dispatch()
      healRunners(fleet)
      await fleet.b.dispatch()
      expect(fleet.applications.executions).to.have.length(2)
    })
  }
})
