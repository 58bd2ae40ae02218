/**
 * Checks that a request marked as not repeatable runs at most once across all runners.
 */
import type { History } from '../history.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

export class AtMostOnceRule implements HistoryRule {
  readonly name = 'atMostOnce'
  readonly promise = 'A request marked as not repeatable runs at most once'

  check (history: History): readonly Finding[] {
    const nonRepeatable = new Set(history.of('asked').filter(ask => !ask.repeatable).map(ask => ask.requestId))
    return [...history.byRequest('ran')]
      .filter(([requestId, runs]) => nonRepeatable.has(requestId) && runs.length > 1)
      .map(([requestId, runs]) => ({ text: `request ${requestId} is not repeatable and ran ${runs.length} times`, records: runs }))
  }
}
