/**
 * Validation of completions before anything is reserved.
 */
import { expect } from 'chai'
import type { CompletionBody } from '@rosemaryspread/callers/completion/completionTypes.js'
import { failureOf } from '@rosemaryspread/decisions/codes/failure.js'
import { fleetConfigSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import { admitCompletion, promptTokenBound, type AdmittedCompletion } from './completionAdmission.js'

const config = fleetConfigSchema.parse({
  teams: {
    desk: { displayName: 'desk', budget: 'b', models: ['m'] },
    other: { displayName: 'other', budget: 'b2', models: [] }
  },
  models: { m: { maxTokens: 100, adapters: ['es'] } },
  limits: { requestTimeoutMs: 1_000 }
})

interface AdmissionCase {
  readonly name: string
  readonly team?: string
  readonly body?: Partial<CompletionBody>
  readonly budget?: string
  readonly timeoutMs?: number
  readonly refused?: string
  readonly expected?: Partial<AdmittedCompletion>
}

const cases: readonly AdmissionCase[] = [
  { name: 'the cap of the model when the caller sends none', expected: { maxTokens: 100, budget: 'b' } },
  { name: 'a smaller cap from the caller', body: { max_tokens: 7 }, expected: { maxTokens: 7 } },
  { name: 'max_completion_tokens in preference to max_tokens', body: { max_tokens: 7, max_completion_tokens: 5 }, expected: { maxTokens: 5 } },
  { name: 'the cap of the model when the caller sends a larger one', body: { max_tokens: 100_000 }, expected: { maxTokens: 100 } },
  { name: 'the configured timeout when the caller sends a longer one', timeoutMs: 60_000, expected: { deadline: { mono: 1_010, wall: 1_020 } } },
  { name: 'a shorter timeout from the caller', timeoutMs: 10, expected: { deadline: { mono: 20, wall: 30 } } },
  { name: 'a sub-budget of the team', budget: 'b:project', expected: { budget: 'b:project' } },
  { name: 'a budget of another team', budget: 'b2', refused: 'forbidden' },
  { name: 'a sub-budget of another team', budget: 'b2:project', refused: 'forbidden' },
  { name: 'a model that the team may not use', team: 'other', refused: 'unknownModel' },
  { name: 'a model that is not configured', body: { model: 'x' }, refused: 'unknownModel' },
  { name: 'an adapter that is not configured', body: { adapter: 'x' }, refused: 'unknownModel' },
  { name: 'an adapter of the model', body: { adapter: 'es' }, expected: { adapter: 'es' } },
  { name: 'a team that is not configured', team: 'gone', refused: 'forbidden' }
]

describe('admission of completions', () => {
  for (const { name, team, body, budget, timeoutMs, refused, expected } of cases) {
    it(`${refused === undefined ? 'accepts' : 'refuses'} ${name}`, () => {
      const call = {
        caller: { team: team ?? 'desk' },
        body: { model: 'm', messages: [{ role: 'user' as const, content: 'hola' }], stream: false, ...body },
        digest: 'd',
        gone: new AbortController().signal,
        ...(budget === undefined ? {} : { budget }),
        ...(timeoutMs === undefined ? {} : { timeoutMs })
      }
      const admitted = admitCompletion(call, config, 'fresh', { mono: 10, wall: 20 })
      expect(failureOf(admitted)?.code).to.equal(refused)
      if (expected !== undefined) expect(admitted.extract()).to.deep.include(expected)
    })
  }

  it('counts at least one token for each byte of the prompt', () => {
    const content = 'xóa hình vẽ'
    expect(promptTokenBound([{ content }])).to.be.at.least(Buffer.byteLength(content))
  })
})
