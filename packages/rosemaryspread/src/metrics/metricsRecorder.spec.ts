/** How counters are rendered, with and without the label of a budget. */
import { expect } from 'chai'
import { MetricsRecorder } from './metricsRecorder.js'

describe('MetricsRecorder', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly count: (metrics: MetricsRecorder) => void, readonly rendered: readonly string[] }> = [
    { name: 'adds up a counter', count: metrics => { metrics.count('answers'); metrics.count('answers', 2) }, rendered: ['rosemaryspread_answers_total 3'] },
    {
      name: 'keeps one series for each budget',
      count: metrics => { for (const [tokens, budget] of [[5, 'a'], [7, 'b'], [1, 'a']] as const) metrics.count('tokens_assumed_spent', tokens, budget) },
      rendered: ['rosemaryspread_tokens_assumed_spent_total{budget="a"} 6', 'rosemaryspread_tokens_assumed_spent_total{budget="b"} 7']
    },
    { name: 'escapes the label', count: metrics => { metrics.count('tokens_assumed_spent', 1, 'a"\\') }, rendered: ['rosemaryspread_tokens_assumed_spent_total{budget="a\\"\\\\"} 1'] }
  ]
  for (const { name, count, rendered } of cases) {
    it(name, () => {
      const metrics = new MetricsRecorder()
      count(metrics)
      expect(metrics.render().trim().split('\n')).to.deep.equal(rendered)
    })
  }
})
