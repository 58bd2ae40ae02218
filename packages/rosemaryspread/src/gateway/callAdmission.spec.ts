/**
 * Guards against calls that wait under load and are lost: each is started once, or told that it has not run, whether it becomes late, its
 * caller leaves or the VM drains.
 */
import { expect } from 'chai'
import { failureOf, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { LogEventName } from '@rosemaryspread/decisions/events/logEvents.js'
import type { Either } from 'purify-ts'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import { CallAdmission } from './callAdmission.js'
import type { AdmittedCall, CallPlace } from './callTypes.js'

const OBJECTIVE_MS = 400
const SLOW_MS = 390
/** Slow calls that show the load. */
const OPEN = 20
/** Calls that the limit lets start after them. */
const FIRST_LIMIT = 10

interface Fixture {
  readonly admission: CallAdmission
  readonly clock: { mono: number }
  readonly events: Array<readonly [LogEventName, unknown]>
  readonly metrics: MetricsRecorder
}

function fixture (): Fixture {
  const clock = { mono: 0 }
  const events: Array<readonly [LogEventName, unknown]> = []
  const metrics = new MetricsRecorder()
  const admission = new CallAdmission({
    clock: { now: () => ({ mono: clock.mono, wall: 0 }) },
    random: { next: () => 0.5, id: () => 'id' },
    log: { write: (name, { isLimited }) => { events.push([name, isLimited]) } },
    metrics,
    settings: { limit: 'aimd' },
    busyRatio: () => 1
  })
  return { admission, clock, events, metrics }
}

function callOf (clock: Fixture['clock'], gone = new AbortController().signal, priority = 0): AdmittedCall {
  return {
    call: { requestId: 'r', method: 'POST', path: '/', headers: [], body: Buffer.alloc(0), promptTokens: 0, maxTokens: 0, receivedAt: { mono: clock.mono, wall: 0 }, gone },
    route: { name: 'p', repeat: 'always', streamed: true, objectiveMs: OBJECTIVE_MS, attempts: 1, retriesFailures: true },
    service: 's',
    team: 't',
    isPrepaid: false,
    priority,
    tokensPerEvent: 1,
    promptParts: [],
    sharedParts: [],
    sharedTokens: 0,
    deadline: clock.mono + 5_000
  }
}

async function placeOf (admitted: Promise<Either<Failure, CallPlace>>): Promise<CallPlace> {
  return (await admitted).unsafeCoerce()
}

/** Plays slow calls until the service is limited, and returns the places of calls that fill the limit. */
async function limited ({ admission, clock }: Fixture): Promise<readonly CallPlace[]> {
  const slow = await Promise.all(Array.from({ length: OPEN }, async () => await placeOf(admission.admit(callOf(clock)))))
  slow.forEach(place => { place.sent() })
  admission.tick()
  clock.mono += SLOW_MS
  for (const place of slow) {
    place.firstOutput()
    place.ended()
  }
  const open: CallPlace[] = []
  for (let i = 0; i < FIRST_LIMIT; i += 1) open.push(await placeOf(admission.admit(callOf(clock))))
  return open
}

const endings: ReadonlyArray<{ readonly name: string, readonly end: (parts: Fixture & { readonly gone: AbortController, readonly open: readonly CallPlace[] }) => void, readonly code: string | undefined }> = [
  { name: 'starts when another has its first output', end: ({ open }) => { open[0]?.firstOutput() }, code: undefined },
  { name: 'starts when another ends', end: ({ open }) => { open[0]?.ended() }, code: undefined },
  { name: 'is dropped when its caller leaves', end: ({ gone }) => { gone.abort() }, code: 'callerGone' },
  { name: 'is refused when the VM drains', end: ({ admission }) => { admission.drain() }, code: 'draining' },
  {
    name: 'is refused when its turn is too late',
    end: ({ admission, clock }) => {
      clock.mono += OBJECTIVE_MS
      admission.tick()
    },
    code: 'deadlineOutOfReach'
  }
]

describe('CallAdmission', () => {
  it('starts calls at once and logs nothing without a sign of load', async () => {
    const parts = fixture()
    for (let i = 0; i < 200; i += 1) await placeOf(parts.admission.admit(callOf(parts.clock)))
    parts.admission.tick()
    expect(parts.events).to.deep.equal([])
  })

  for (const { name, end, code } of endings) {
    it(`a call that waits ${name}`, async () => {
      const parts = fixture()
      const open = await limited(parts)
      expect(parts.events).to.deep.equal([['callsLimited', true]])
      const gone = new AbortController()
      let isSettled = false
      const waiting = parts.admission.admit(callOf(parts.clock, gone.signal))
      const settled = waiting.then(() => { isSettled = true })
      await new Promise(resolve => setImmediate(resolve))
      expect([isSettled, /admission_waiting 1/.test(parts.metrics.render())]).to.deep.equal([false, true])
      end({ ...parts, gone, open })
      await settled
      const failure = failureOf(await waiting)
      expect([failure?.code, failure?.ran, /admission_waiting 0/.test(parts.metrics.render())]).to.deep.equal([code, code === undefined ? undefined : 'no', true])
    })
  }

  it('refuses a call that would wait while the VM drains, and starts one that need not', async () => {
    const parts = fixture()
    const open = await limited(parts)
    parts.admission.drain()
    expect(failureOf(await parts.admission.admit(callOf(parts.clock)))?.code).to.equal('draining')
    open[0]?.ended()
    expect(failureOf(await parts.admission.admit(callOf(parts.clock)))).to.equal(undefined)
  })
})
