/**
 * Guards against a VM that takes the end of single targets for the loss of its path, or the loss of its path for the end of targets.
 */
import { expect } from 'chai'
import { ServicePaths } from './servicePaths.js'

const listed = ['a', 'b', 'c', 'd']

/** Something observed at a time in milliseconds. */
type Observation = readonly [mono: number, event: 'failed' | 'connected', target: string]

interface PathCase {
  readonly name: string
  readonly listed: readonly string[]
  readonly observed: readonly Observation[]
  readonly isLost: boolean
}

const cases: readonly PathCase[] = [
  { name: 'is not lost without evidence', listed, observed: [], isLost: false },
  { name: 'is not lost while one target is unknown', listed, observed: [[0, 'failed', 'a'], [0, 'failed', 'b'], [0, 'failed', 'c']], isLost: false },
  { name: 'is lost once no target can be reached', listed, observed: [[0, 'failed', 'a'], [10, 'failed', 'b'], [20, 'failed', 'c'], [30, 'failed', 'd']], isLost: true },
  { name: 'is not lost if one of the failures is old', listed, observed: [[-1_500, 'failed', 'a'], [10, 'failed', 'b'], [20, 'failed', 'c'], [30, 'failed', 'd']], isLost: false },
  { name: 'is not lost if a target accepted a connection meanwhile', listed, observed: [[0, 'failed', 'a'], [0, 'failed', 'b'], [5, 'connected', 'c'], [10, 'failed', 'c'], [10, 'failed', 'd']], isLost: false },
  { name: 'is lost if the only target cannot be reached', listed: ['a'], observed: [[0, 'failed', 'a']], isLost: true },
  { name: 'is not lost without targets', listed: [], observed: [[0, 'failed', 'a']], isLost: false },
  { name: 'ignores targets that are no longer listed', listed: ['a', 'b'], observed: [[0, 'failed', 'a'], [0, 'failed', 'gone']], isLost: false },
  { name: 'is lost if sixteen of many targets cannot be reached', listed: Array.from({ length: 600 }, (_, i) => `t${i}`), observed: Array.from({ length: 16 }, (_, i) => [0, 'failed', `t${i * 30}`] as const), isLost: true }
]

function observe (paths: ServicePaths, observed: readonly Observation[]): void {
  for (const [mono, event, target] of observed) {
    if (event === 'failed') paths.recordFailed('s', target, mono)
    else paths.recordConnected('s')
  }
}

describe('the path to the targets of a service', () => {
  for (const { name, listed: ids, observed, isLost } of cases) {
    it(name, () => {
      const paths = new ServicePaths()
      observe(paths, observed)
      expect(paths.conclude('s', ids, 50)).to.equal(isLost)
      expect([paths.isLost('s'), paths.lost]).to.deep.equal([isLost, isLost ? ['s'] : []])
    })
  }

  const doubts: ReadonlyArray<{ readonly ids: readonly string[], readonly failed: readonly string[], readonly isDoubtful: boolean }> = [
    { ids: listed, failed: ['a'], isDoubtful: false },
    { ids: listed, failed: ['a', 'a'], isDoubtful: false },
    { ids: listed, failed: ['a', 'd'], isDoubtful: true },
    { ids: ['a'], failed: ['a'], isDoubtful: true }
  ]
  for (const { ids, failed, isDoubtful } of doubts) {
    it(`is ${isDoubtful ? '' : 'not '}in doubt after failures of ${failed.join(' and ')} among ${ids.length}`, () => {
      const paths = new ServicePaths()
      for (const target of failed) paths.recordFailed('s', target, 0)
      expect(paths.isDoubtful('s', ids, 10)).to.equal(isDoubtful)
    })
  }

  it('is found again with the first accepted connection', () => {
    const paths = new ServicePaths()
    observe(paths, [[0, 'failed', 'a']])
    expect(paths.conclude('s', ['a'], 0)).to.equal(true)
    expect([paths.recordConnected('s'), paths.isLost('s')]).to.deep.equal([true, false])
    expect(paths.recordConnected('s')).to.equal(false)
  })

  it('is judged by two probes first, then by all other targets', () => {
    const paths = new ServicePaths()
    expect(paths.toProbe('s', listed, 0, 0)).to.deep.equal(['a', 'b'])
    observe(paths, [[0, 'failed', 'a'], [0, 'failed', 'b']])
    expect(paths.toProbe('s', listed, 10, 0.9)).to.have.members(['c', 'd'])
    observe(paths, [[10, 'failed', 'c'], [10, 'failed', 'd']])
    expect(paths.toProbe('s', listed, 20, 0.9)).to.deep.equal([])
  })

  it('is judged for each service by itself', () => {
    const paths = new ServicePaths()
    observe(paths, [[0, 'failed', 'a']])
    paths.conclude('s', ['a'], 0)
    expect([paths.isLost('s'), paths.isLost('other')]).to.deep.equal([true, false])
  })
})
