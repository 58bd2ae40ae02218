/** Guards against invalid scenario files that are accepted or reported without the line of the error. */
import { expect } from 'chai'
import { parseScenario } from './scenarioParser.js'

const head = [
  'title: a title',
  'promises: [billedOnce]',
  'fleet:',
  '  vms: { q1: quito }',
  '  teams: { t: { budget: b, models: [m] } }',
  '  budgets: { b: 100 }'
]

const cases = [
  { name: 'an unknown verb', lines: [...head, 'steps:', '  - explode: q1'], error: /^line 8: there is no verb 'explode'/ },
  { name: 'a step with two verbs', lines: [...head, 'steps:', '  - kill: q1', '    thaw: q1'], error: /^line 8: a step is a map/ },
  { name: 'a wrong type in a nested field', lines: [...head, 'steps:', '  - wait: 1', '  - request:', '      as: r', '      team: t', '      vm: q1', '      model: m', '      tokens: many'], error: /^line 14: steps\.1\.request\.tokens/ },
  { name: 'an invalid step inside a race', lines: [...head, 'steps:', '  - race:', '      - wait: 1', '      - wait: soon'], error: /^line 10: / },
  { name: 'an unknown field', lines: [...head, 'steps:', '  - topUp: { vm: q1, budget: b, token: 1, id: x }'], error: /^line 8: / },
  { name: 'a team without a budget', lines: [...head.slice(0, 4), '  teams: { t: { budget: c } }', '  budgets: { b: 1 }', 'steps:', '  - wait: 1'], error: /^line 5: there is no budget 'c'/ },
  { name: 'a promise that no rule checks', lines: ['title: x', 'promises: [luck]', ...head.slice(2), 'steps:', '  - wait: 1'], error: /^line 2: / },
  { name: 'malformed YAML', lines: ['title: [x'], error: /^line / }
]

describe('scenario parser', () => {
  for (const { name, lines, error } of cases) {
    it(`reports the line of ${name}`, () => {
      const errors = parseScenario(lines.join('\n')).swap().map(failure => failure.errors).orDefault([])
      expect(errors[0]).to.match(error)
    })
  }

  it('parses steps with their lines and defaults', () => {
    const scenario = parseScenario([...head, 'steps:', '  - kill: q1', '  - race:', '      - wait: 5'].join('\n')).unsafeCoerce()
    expect(scenario.steps).to.deep.equal([
      { verb: 'kill', value: ['q1'], line: 8 },
      { verb: 'race', value: [{ verb: 'wait', value: 5, line: 10 }], line: 9 }
    ])
  })
})
