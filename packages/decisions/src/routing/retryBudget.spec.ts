/**
 * Reasons not to retry, retry delays, and the load when every request fails.
 */
import { expect } from 'chai'
import { RetryBudget, type FailedAttempt, type RetryDecider, type RetryDecision } from './retryBudget.js'
import { at, seeded } from './routing.fixture.js'

const failed = (over: Partial<FailedAttempt> = {}): FailedAttempt => ({ attempts: 1, repeatable: true, deadline: at(10_000), predictedMs: 1_000, ...over })

/** Faulty: retries everything up to the attempt limit. */
class UnlimitedRetries implements RetryDecider {
  recordFirstAttempt (): void {}
  decide (attempt: FailedAttempt): RetryDecision {
    return attempt.attempts < 3 ? { retry: true, delayMs: 0 } : { retry: false, reason: 'attemptsSpent' }
  }
}

/** Number of attempts that reach the runners when all of 1,000 requests in 10 seconds fail. */
function countAttempts (decider: RetryDecider): number {
  let count = 0
  for (let i = 0; i < 1_000; i++) {
    const now = at(i * 10)
    decider.recordFirstAttempt(now)
    let attempts = 1
    while (decider.decide(failed({ attempts, deadline: at(1_000_000) }), now, seeded(i)).retry) attempts += 1
    count += attempts
  }
  return count
}

describe('RetryBudget', () => {
  const cases: readonly { readonly name: string, readonly attempt: FailedAttempt, readonly reason: string }[] = [
    { name: 'is not repeatable', attempt: failed({ repeatable: false }), reason: 'notRepeatable' },
    { name: 'has reached the attempt limit', attempt: failed({ attempts: 3 }), reason: 'attemptsSpent' },
    { name: 'would complete after its deadline', attempt: failed({ predictedMs: 9_990 }), reason: 'deadline' },
    { name: 'would have to wait past its deadline', attempt: failed({ retryAfterMs: 9_500 }), reason: 'deadline' },
    { name: 'meets its deadline', attempt: failed(), reason: 'retry' }
  ]
  for (const { name, attempt, reason } of cases) {
    it(`a request that ${name}: ${reason}`, () => {
      const decision = new RetryBudget().decide(attempt, at(0), () => 0.5)
      expect(decision.retry ? 'retry' : decision.reason).to.equal(reason)
    })
  }

  for (const { attempts, draw, delayMs } of [{ attempts: 1, draw: 0, delayMs: 25 }, { attempts: 1, draw: 1, delayMs: 50 }, { attempts: 2, draw: 0, delayMs: 50 }]) {
    it(`attempt ${attempts} with jitter ${draw} waits ${delayMs} ms, in addition to a requested delay`, () => {
      const decide = (over: Partial<FailedAttempt>): RetryDecision => new RetryBudget().decide(failed({ attempts, ...over }), at(0), () => draw)
      expect(decide({})).to.deep.equal({ retry: true, delayMs })
      expect(decide({ retryAfterMs: 300 })).to.deep.equal({ retry: true, delayMs: 300 + delayMs })
    })
  }

  it('adds at most a tenth of the requests plus the credit per second when every request fails; retrying always triples the load', () => {
    expect(countAttempts(new RetryBudget())).to.be.within(1_100, 1_121)
    expect(countAttempts(new UnlimitedRetries())).to.equal(3_000)
  })
})
