/**
 * Statuses of refusals: the promise that a request was not executed is given exactly where it is true.
 */
import { expect } from 'chai'
import { Failure } from '../codes/failure.js'
import type { ExecutionStatus, ResultName } from '../codes/resultCodes.js'
import { refusalOf } from './refusal.js'

describe('refusalOf', () => {
  const cases: ReadonlyArray<{ readonly code: ResultName, readonly ran: ExecutionStatus, readonly retryAfterMs?: number, readonly status: number, readonly retryAfterS: number | undefined }> = [
    { code: 'notFound', ran: 'no', status: 404, retryAfterS: undefined },
    { code: 'unauthorized', ran: 'no', status: 401, retryAfterS: undefined },
    { code: 'budgetSpent', ran: 'no', retryAfterMs: 30_000, status: 402, retryAfterS: 30 },
    { code: 'configNotLoaded', ran: 'no', retryAfterMs: 500, status: 503, retryAfterS: 0.5 },
    { code: 'runnerUnreachable', ran: 'no', status: 503, retryAfterS: 0.25 },
    { code: 'deadlineExceeded', ran: 'no', status: 503, retryAfterS: 0.25 },
    { code: 'deadlineExceeded', ran: 'unknown', status: 504, retryAfterS: undefined },
    { code: 'runnerUnreachable', ran: 'unknown', status: 502, retryAfterS: undefined },
    { code: 'noRunner', ran: 'unknown', status: 502, retryAfterS: undefined },
    { code: 'queueFull', ran: 'yes', status: 502, retryAfterS: undefined },
    { code: 'internal', ran: 'unknown', status: 500, retryAfterS: undefined }
  ]
  for (const { code, ran, retryAfterMs, status, retryAfterS } of cases) {
    it(`${code}, ran ${ran}: ${status}`, () => {
      const refusal = refusalOf(new Failure(code, 'detail', { ran, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }))
      expect([refusal.status, refusal.retryAfterS, refusal.body.status]).to.deep.equal([status, retryAfterS, status])
    })
  }
})
