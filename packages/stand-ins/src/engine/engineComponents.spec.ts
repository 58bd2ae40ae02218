/**
 * Models, prefix cache and answers of the engine stand-in.
 */
import { expect } from 'chai'
import { answerText } from './engineText.js'
import { detectLanguage } from './engineWords.js'
import { EngineModels } from './engineModels.js'
import { PrefixCache, promptPrefixes } from './prefixCache.js'

const order = (orderId: string, fencing: number, kind: 'load' | 'unload' | 'loadAdapter' | 'role', model = 'm', version = '1') =>
  ({ orderId, fencing, kind, model, version, ...(kind === 'loadAdapter' ? { adapter: 'a' } : {}) })

describe('EngineModels', () => {
  const cases: readonly { name: string, checks: boolean, orders: ReturnType<typeof order>[], outcomes: string[], models: string[] }[] = [
    { name: 'load', checks: true, orders: [order('1', 1, 'load')], outcomes: ['done'], models: ['old@1', 'm@1'] },
    { name: 'load replaces another version', checks: true, orders: [order('1', 1, 'load', 'old', '2')], outcomes: ['done'], models: ['old@2'] },
    { name: 'unload', checks: true, orders: [order('1', 1, 'unload', 'old')], outcomes: ['done'], models: [] },
    { name: 'unload of a version that is not loaded', checks: true, orders: [order('1', 1, 'unload', 'old', '9')], outcomes: ['done'], models: ['old@1'] },
    { name: 'adapter whose model is not loaded', checks: true, orders: [order('1', 1, 'loadAdapter')], outcomes: ['notLoaded'], models: ['old@1'] },
    { name: 'stale fencing number on an engine that checks it', checks: true, orders: [order('1', 2, 'role'), order('2', 1, 'load')], outcomes: ['done', 'oldFencing'], models: ['old@1'] },
    { name: 'stale fencing number on an engine that ignores it', checks: false, orders: [order('1', 2, 'role'), order('2', 1, 'load')], outcomes: ['done', 'done'], models: ['old@1', 'm@1'] },
    { name: 'repeated order', checks: true, orders: [order('1', 1, 'load'), order('2', 1, 'unload'), order('1', 1, 'load')], outcomes: ['done', 'done', 'done'], models: ['old@1'] }
  ]
  for (const { name, checks, orders, outcomes, models } of cases) {
    it(name, () => {
      const engine = new EngineModels(['old'], checks)
      expect(orders.map(item => engine.execute(item))).to.deep.equal(outcomes)
      expect(engine.report.map(({ model, version }) => `${model}@${version}`)).to.deep.equal(models)
    })
  }
})

describe('PrefixCache', () => {
  const prefixesOf = (text: string) => promptPrefixes('m', [{ role: 'user', content: text }])

  it('evicts the least recently used prefix beyond its capacity and publishes the eviction', () => {
    const cache = new PrefixCache({ capacity: 2, eventLagMs: 0, eventLoss: 0 }, () => 0)
    const [a, b, c] = ['aaaa', 'bbbb', 'cccc'].map(prefixesOf) as [ReturnType<typeof prefixesOf>, ReturnType<typeof prefixesOf>, ReturnType<typeof prefixesOf>]
    cache.store(a, 0)
    cache.store(b, 0)
    cache.cachedTokens(a)
    cache.store(c, 0)
    expect([a, b, c].map(prefixes => cache.cachedTokens(prefixes))).to.deep.equal([1, 0, 1])
    expect(cache.eventsAfter(0, 0).events.at(-1)).to.deep.equal({ sequence: 4, kind: 'evicted', prefixHash: b[0]!.hash })
  })

  const losses: readonly { name: string, loss: number, drop: boolean, sequences: number[], next: number }[] = [
    { name: 'no loss', loss: 0, drop: false, sequences: [1, 2, 3], next: 3 },
    { name: 'some lost', loss: 0.5, drop: false, sequences: [2], next: 2 },
    { name: 'all dropped', loss: 0, drop: true, sequences: [], next: 0 }
  ]
  for (const { name, loss, drop, sequences, next } of losses) {
    it(`publishes events: ${name}`, () => {
      const draws = [0.4, 0.6, 0.1]
      const cache = new PrefixCache({ capacity: 100, eventLagMs: 0, eventLoss: loss }, () => draws.shift()!)
      cache.dropEvents = drop
      for (const text of ['a', 'b', 'c']) cache.store(prefixesOf(text), 0)
      const answer = cache.eventsAfter(0, 0)
      expect(answer.events.map(({ sequence }) => sequence)).to.deep.equal(sequences)
      expect(answer.next).to.equal(next)
    })
  }
})

describe('answers', () => {
  const cases: readonly { model: string, text: string, language: string }[] = [
    { model: 'asistente', text: 'Necesito una silla de ruedas', language: 'spanish' },
    { model: 'asistente', text: 'Imanalla mashi', language: 'kichwa' },
    { model: 'llm', text: 'Xin báo giá sơn tường', language: 'vietnamese' },
    { model: 'vi-llm', text: 'quote', language: 'vietnamese' }
  ]
  for (const { model, text, language } of cases) {
    it(`"${text}" to ${model} gets an answer in ${language}`, () => expect(detectLanguage(model, text)).to.equal(language))
  }

  it('an answer cut by the token limit is a prefix of the full answer', () => {
    const subject = { requestId: 'r', model: 'm', messages: [{ role: 'user' as const, content: 'hola' }] }
    expect(answerText(subject, 1000).startsWith(answerText(subject, 5))).to.equal(true)
  })
})
