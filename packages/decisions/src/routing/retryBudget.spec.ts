/**
 * Retries: each reason not to, the wait, and a fault that fails everything.
 */
import { expect } from 'chai'
import { RetryBudget, type FailedAttempt, type RetryDecider, type RetryDecision } from './retryBudget.js'
import { at, seeded } from './routing.fixture.js'

const failed = (over: Partial<FailedAttempt> = {}): FailedAttempt => ({ attempts: 1, repeatable: true, deadline: at(10_000), needMs: 1_000, ...over })

/** Weaker: retries whatever may be repeated. */
class RetryAlways implements RetryDecider {
  attempted (): void {}
  decide (attempt: FailedAttempt): RetryDecision {
    return attempt.attempts < 3 ? { retry: true, delayMs: 0 } : { retry: false, reason: 'attemptsSpent' }
  }
}

/** Attempts that reach the runners when every one of 1,000 requests in 10 seconds fails. */
function storm (decider: RetryDecider): number {
  let sent = 0
  for (let i = 0; i < 1_000; i++) {
    const now = at(i * 10)
    decider.attempted(now)
    let attempts = 1
    while (decider.decide(failed({ attempts, deadline: at(1_000_000) }), now, seeded(i)).retry) attempts += 1
    sent += attempts
  }
  return sent
}

describe('RetryBudget', () => {
  const cases: readonly { readonly name: string, readonly attempt: FailedAttempt, readonly reason: string }[] = [
    { name: 'may not be repeated', attempt: failed({ repeatable: false }), reason: 'notRepeatable' },
    { name: 'was tried often enough', attempt: failed({ attempts: 3 }), reason: 'attemptsSpent' },
    { name: 'would end after its deadline', attempt: failed({ needMs: 9_990 }), reason: 'deadline' },
    { name: 'is asked to wait past its deadline', attempt: failed({ retryAfterMs: 9_500 }), reason: 'deadline' },
    { name: 'fits', attempt: failed(), reason: 'retry' }
  ]
  for (const { name, attempt, reason } of cases) {
    it(`a request that ${name}: ${reason}`, () => {
      const decision = new RetryBudget().decide(attempt, at(0), () => 0.5)
      expect(decision.retry ? 'retry' : decision.reason).to.equal(reason)
    })
  }

  for (const { attempts, draw, delayMs } of [{ attempts: 1, draw: 0, delayMs: 25 }, { attempts: 1, draw: 1, delayMs: 50 }, { attempts: 2, draw: 0, delayMs: 50 }]) {
    it(`attempt ${attempts} with jitter ${draw} waits ${delayMs} ms, on top of what was asked for`, () => {
      const decide = (over: Partial<FailedAttempt>): RetryDecision => new RetryBudget().decide(failed({ attempts, ...over }), at(0), () => draw)
      expect(decide({})).to.deep.equal({ retry: true, delayMs })
      expect(decide({ retryAfterMs: 300 })).to.deep.equal({ retry: true, delayMs: 300 + delayMs })
    })
  }

  it('adds at most a tenth and the time\'s share when all fails; retrying always triples the load', () => {
    expect(storm(new RetryBudget())).to.be.within(1_100, 1_121)
    expect(storm(new RetryAlways())).to.equal(3_000)
  })
})
