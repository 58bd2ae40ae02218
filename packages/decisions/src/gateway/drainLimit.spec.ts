/**
 * Guards against requests that a draining VM sends to a target although it ends before they have to be answered.
 */
import { expect } from 'chai'
import { DrainLimit } from './drainLimit.js'

const LINGER_UNTIL = 2_000
const CUT_AT = 6_800

interface LimitCase {
  readonly name: string
  readonly now: number
  readonly deadline: number
  readonly isDraining?: false
  readonly isClosed?: true
  readonly isRefused: boolean
}

const cases: readonly LimitCase[] = [
  { name: 'before the drain', now: 5_000, deadline: 20_000, isDraining: false, isRefused: false },
  { name: 'while callers may not know of the drain', now: 1_999, deadline: 17_000, isRefused: false },
  { name: 'later, with a deadline after the end', now: 2_001, deadline: 6_801, isRefused: true },
  { name: 'later, with a deadline before the end', now: 2_001, deadline: 6_800, isRefused: false },
  { name: 'right before the end, with a deadline before it', now: 6_700, deadline: 6_790, isRefused: false },
  { name: 'right before the end, with a deadline after it', now: 6_700, deadline: 6_900, isRefused: true },
  { name: 'while the process ends', now: 1_000, deadline: 1_100, isClosed: true, isRefused: true },
  { name: 'while a process ends that does not drain', now: 1_000, deadline: 1_100, isDraining: false, isClosed: true, isRefused: true }
]

describe('DrainLimit', () => {
  for (const { name, now, deadline, isDraining, isClosed, isRefused } of cases) {
    it(`${isRefused ? 'refuses' : 'allows'} a call ${name}`, () => {
      const limit = new DrainLimit()
      if (isDraining !== false) limit.begin({ lingerUntil: LINGER_UNTIL, cutAt: CUT_AT })
      if (isClosed === true) limit.close()
      const refusal = limit.refusal(now, deadline)
      expect([refusal?.code, refusal?.ran]).to.deep.equal(isRefused ? ['draining', 'no'] : [undefined, undefined])
    })
  }
})
