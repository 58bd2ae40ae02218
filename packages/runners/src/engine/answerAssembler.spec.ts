/**
 * Guards against answers assembled from duplicate or missing pieces, or pieces of other requests. `!` marks a rejected step, `.` the end.
 */
import { expect } from 'chai'
import { AnswerAssembler } from './answerAssembler.js'

type Step = readonly [sequence: number | 'end', text: string, requestId?: string]

const cases: readonly [title: string, steps: readonly Step[], expected: string][] = [
  ['pieces in order', [[0, 'a'], [1, 'b'], ['end', '']], 'ab.'],
  ['repeated pieces after a resumption', [[0, 'a'], [1, 'b'], [0, 'a'], [1, 'b'], [2, 'c'], ['end', '']], 'abc.'],
  ['a repeated piece with different text', [[0, 'a'], [1, 'b'], [1, 'x']], 'ab!'],
  ['a gap', [[0, 'a'], [2, 'c']], 'a!'],
  ['a piece of another request', [[0, 'a'], [1, 'b', 'req-2']], 'a!'],
  ['an end of another request', [[0, 'a'], ['end', '', 'req-2']], 'a!'],
  ['a second end', [[0, 'a'], ['end', ''], ['end', '']], 'a.!'],
  ['a piece after the end', [['end', ''], [0, 'a']], '.!']
]

function runSteps (steps: readonly Step[]): string {
  const assembler = new AnswerAssembler('req-1')
  return steps.map(([sequence, text, requestId = 'req-1']) => {
    if (sequence === 'end') return assembler.finish(requestId).caseOf({ Left: () => '!', Right: () => '.' })
    return assembler.accept({ requestId, sequence, text }).caseOf({ Left: () => '!', Right: item => item.orDefault('') })
  }).join('')
}

describe('AnswerAssembler', () => {
  for (const [title, steps, expected] of cases) {
    it(title, () => expect(runSteps(steps)).to.equal(expected))
  }
})
