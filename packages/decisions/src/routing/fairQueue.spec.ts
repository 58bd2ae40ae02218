/**
 * Limits, fairness, priorities and deadlines of the queue, compared with a FIFO queue that lacks them.
 */
import { expect } from 'chai'
import { FairQueue } from './fairQueue.js'
import { at } from './routing.fixture.js'
import type { QueueItem } from './queueTypes.js'

type Item = QueueItem<number>

let serial = 0
function item (team: string, over: Partial<Item> = {}): Item {
  const id = `q${serial++}`
  return { id, team, weight: 1, maxInFlight: 1_000, priority: 1, tokens: 100, serviceMs: 1_000, deadline: at(10_000_000), value: 0, ...over }
}

/** Serves one request at a time; returns the teams in the order served. */
function serveTeams (queue: Pick<FairQueue<number>, 'pop' | 'done'>, turns: number): readonly string[] {
  return Array.from({ length: turns }, () => {
    const next = queue.pop()
    if (next === undefined) return 'none'
    queue.done(next, next.tokens, 1_000)
    return next.team
  })
}

/** Faulty: first in, first out, without fairness or deadlines. */
class FifoQueue {
  private readonly items: Item[] = []
  offer (one: Item): void { this.items.push(one) }
  pop (): Item | undefined { return this.items.shift() }
  done (): void {}
}

const countOf = (teams: readonly string[], team: string): number => teams.filter(name => name === team).length

describe('FairQueue', () => {
  const shares = [
    { name: 'a greedy team', teams: { greedy: { weight: 1, count: 90 }, small: { weight: 1, count: 10 } }, turns: 20, small: 10, firstCome: 0 },
    { name: 'weights 3 to 1', teams: { greedy: { weight: 1, count: 90 }, small: { weight: 3, count: 30 } }, turns: 20, small: 15, firstCome: 0 },
    { name: 'a team that marks every request urgent', teams: { greedy: { weight: 1, count: 400, priority: 9 }, small: { weight: 1, count: 200 } }, turns: 800, small: 200, firstCome: 0 }
  ]
  for (const { name, teams, turns, small, firstCome } of shares) {
    it(`${name}: the other team gets its ${small} of ${turns} turns, and fewer from a FIFO queue`, () => {
      const queue = new FairQueue<number>(1)
      const fifo = new FifoQueue()
      for (const [team, { count, ...rest }] of Object.entries(teams)) {
        for (let i = 0; i < count; i++) {
          queue.offer(item(team, rest), at(0))
          fifo.offer(item(team, rest))
        }
      }
      expect(countOf(serveTeams(queue, turns), 'small')).to.be.within(small - 1, small + 1)
      expect(countOf(serveTeams(fifo, Math.min(turns, 20)), 'small')).to.equal(firstCome)
    })
  }

  it('serves the higher priority of a team first and charges the tokens actually used', () => {
    const queue = new FairQueue<number>(1)
    const [low, high] = [item('a', { priority: 0 }), item('a', { priority: 2 })]
    queue.offer(low, at(0))
    queue.offer(high, at(0))
    expect([queue.pop(), queue.pop()]).to.deep.equal([high, undefined])
    queue.done(high, 10, 1_000)
    expect(queue.pop()).to.equal(low)
  })

  const busy = (): FairQueue<number> => {
    const queue = new FairQueue<number>(2)
    for (let i = 0; i < 6; i++) queue.offer(item('a'), at(0))
    for (let i = 0; i < 2; i++) queue.pop()
    return queue
  }
  const refusals = [
    { name: 'team at its limit', queue: busy, next: item('a', { maxInFlight: 6 }), code: 'queueFull' },
    { name: 'another team is not at its limit', queue: busy, next: item('b', { maxInFlight: 6 }), code: 'taken' },
    { name: 'queue full', queue: () => new FairQueue<number>(1, 0), next: item('b'), code: 'overloaded' },
    { name: 'predicted service time exceeds the time left', queue: () => new FairQueue<number>(1), next: item('b', { deadline: at(999) }), code: 'deadlineOutOfReach' },
    { name: 'would start too late', queue: busy, next: item('a', { deadline: at(2_000) }), code: 'deadlineOutOfReach' },
    { name: 'would start in time', queue: busy, next: item('a', { deadline: at(6_000) }), code: 'taken' }
  ]
  for (const { name, queue, next, code } of refusals) {
    it(`${name}: ${code} at once`, () => {
      const failure = queue().offer(next, at(0)).swap().toMaybe().extractNullable()
      expect(failure?.code ?? 'taken').to.equal(code)
      if (failure !== null) expect([failure.ran, (failure.retryAfterMs ?? 0) >= 250]).to.deep.equal(['no', true])
    })
  }

  it('refuses a waiting item when its deadline comes out of reach, not when it passes; a FIFO queue starts it late', () => {
    const queue = new FairQueue<number>(1)
    queue.offer(item('a'), at(0))
    queue.pop()
    const late = item('b', { deadline: at(3_000) })
    queue.offer(late, at(0))
    expect(queue.expire(at(2_000))).to.deep.equal([])
    expect(queue.expire(at(2_001)).map(({ item: expired, failure }) => [expired, failure.code])).to.deep.equal([[late, 'deadlineOutOfReach']])
    expect(queue.waiting).to.equal(0)
    const fifo = new FifoQueue()
    fifo.offer(late)
    expect(fifo.pop()).to.equal(late)
  })

  it('tracks waiting and running over offer, pop, putBack, abandoned, remove and done', () => {
    const queue = new FairQueue<number>(2)
    const [one, two, three] = [item('a'), item('b'), item('c')]
    for (const each of [one, two, three]) queue.offer(each, at(0))
    const first = queue.pop() ?? one
    queue.putBack(first)
    expect([queue.waiting, queue.running, queue.pop()]).to.deep.equal([3, 0, first])
    queue.abandoned(first)
    expect([queue.remove(three.id), queue.remove('none')]).to.deep.equal([true, false])
    const second = queue.pop() ?? two
    queue.done(second, 100, 10)
    expect([queue.waiting, queue.running, queue.pop()]).to.deep.equal([0, 0, undefined])
  })
})
