/**
 * Guards against requests that wait for a place longer than they may, or in the wrong order.
 */
import { expect } from 'chai'
import { PlaceQueue, type PlaceDemand } from './placeQueue.js'

const demand: PlaceDemand = { service: 's', priority: 1, objectiveMs: 200, ageMs: 0 }

describe('requests that wait for a place at a target', () => {
  it('are woken most urgent first, and in order of arrival', async () => {
    const queue = new PlaceQueue()
    const woken: string[] = []
    const waits = [['late', 2], ['first', 1], ['second', 1], ['urgent', 0]].map(async ([name, priority]) => {
      await queue.wait({ ...demand, priority: Number(priority) }, 10)
      woken.push(String(name))
    })
    for (let i = 0; i < waits.length; i += 1) {
      queue.wake('s')
      await Promise.resolve()
    }
    await Promise.all(waits)
    expect(woken).to.deep.equal(['urgent', 'first', 'second', 'late'])
  })

  it('wait for half of their objective at most, less what has passed', async () => {
    const queue = new PlaceQueue()
    const startedAt = performance.now()
    expect(await queue.wait({ ...demand, ageMs: 50 }, 10)).to.equal(false)
    expect(performance.now() - startedAt).to.be.within(45, 100)
    expect(await queue.wait({ ...demand, ageMs: 100 }, 10)).to.equal(false)
  })

  const lengths: ReadonlyArray<{ readonly places: number, readonly waiting: number }> = [{ places: 0, waiting: 1 }, { places: 1, waiting: 1 }, { places: 3, waiting: 3 }]
  for (const { places, waiting } of lengths) {
    it(`are no more than ${waiting} with ${places} places`, async () => {
      const queue = new PlaceQueue()
      const waits = Array.from({ length: 5 }, async () => await queue.wait(demand, places))
      for (let i = 0; i < waiting; i += 1) queue.tick()
      expect((await Promise.all(waits)).filter(isWoken => isWoken)).to.have.length(waiting)
    })
  }

  it('do not wake those of another service', async () => {
    const queue = new PlaceQueue()
    const wait = queue.wait(demand, 10)
    queue.wake('other')
    expect(await wait).to.equal(false)
  })
})
