/** Guards against calls that wait in a wrong order: a less urgent one before a more urgent one, or a team's surge before others. */
import { expect } from 'chai'
import { AdmissionQueue } from './admissionQueue.js'
import type { AdmissionRequest } from './admissionTypes.js'

/** Calls as team, priority and number, such as `a0.1`. */
const cases: ReadonlyArray<{ readonly name: string, readonly added: readonly string[], readonly order: readonly string[] }> = [
  { name: 'the oldest of a team first', added: ['a0.1', 'a0.2', 'a0.3'], order: ['a0.1', 'a0.2', 'a0.3'] },
  { name: 'the most urgent first', added: ['a2.1', 'a1.2', 'a0.3', 'b1.4'], order: ['a0.3', 'a1.2', 'b1.4', 'a2.1'] },
  { name: 'teams in turns', added: ['a0.1', 'a0.2', 'a0.3', 'b0.4', 'b0.5'], order: ['a0.1', 'b0.4', 'a0.2', 'b0.5', 'a0.3'] },
  { name: 'teams in turns within each priority', added: ['a1.1', 'a1.2', 'b1.3', 'a0.4', 'a0.5', 'b0.6'], order: ['a0.4', 'b0.6', 'a0.5', 'a1.1', 'b1.3', 'a1.2'] }
]

function requestOf (text: string): AdmissionRequest<string> {
  return { team: text.charAt(0), priority: Number(text.charAt(1)), objectiveMs: 100, receivedAt: 0, deadline: 1_000, value: text }
}

describe('AdmissionQueue', () => {
  for (const { name, added, order } of cases) {
    it(`serves ${name}`, () => {
      const queue = new AdmissionQueue<string>()
      const requests = added.map(requestOf)
      for (const request of requests) queue.add(request, 0)
      const ahead = order.map(value => queue.ahead(requests.find(each => each.value === value) ?? requestOf(value)))
      expect(ahead).to.deep.equal(order.map((_, index) => index))
      expect(order.map(() => queue.pop()?.request.value)).to.deep.equal(order)
      expect([queue.pop(), queue.waiting]).to.deep.equal([undefined, 0])
    })
  }

  it('gives no credit for idle time', () => {
    const queue = new AdmissionQueue<string>()
    for (const value of ['a0.1', 'a0.2', 'a0.3', 'a0.4']) queue.add(requestOf(value), 0)
    expect([queue.pop()?.request.value, queue.pop()?.request.value]).to.deep.equal(['a0.1', 'a0.2'])
    for (const value of ['b0.5', 'b0.6', 'b0.7']) queue.add(requestOf(value), 0)
    expect([1, 2, 3, 4].map(() => queue.pop()?.request.value)).to.deep.equal(['b0.5', 'a0.3', 'b0.6', 'a0.4'])
  })

  it('removes calls and goes on in order', () => {
    const queue = new AdmissionQueue<string>()
    for (const value of ['a0.1', 'b0.2', 'a1.3', 'b1.4']) queue.add(requestOf(value), 0)
    expect(queue.removeIf(({ request }) => request.team === 'a').map(({ request }) => request.value)).to.deep.equal(['a0.1', 'a1.3'])
    expect([queue.waiting, queue.pop()?.request.value, queue.pop()?.request.value]).to.deep.equal([2, 'b0.2', 'b1.4'])
  })
})
