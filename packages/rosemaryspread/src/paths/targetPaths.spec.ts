/**
 * Guards against a VM that does not notice that its path to targets is lost or back, or that takes silence for it.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure, failureOf } from '@rosemaryspread/decisions/codes/failure.js'
import type { TargetAnswer, TargetClient, TargetRequest } from '../gateway/callTypes.js'
import { DirectClient } from './directClient.js'
import { TargetPaths } from './targetPaths.js'

const request: Omit<TargetRequest, 'service' | 'isRepeatable'> = {
  target: { id: 's-0', address: 's-0' }, requestId: 'r', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), timeoutMs: 1_000, team: undefined, priority: 0, resumeAfter: undefined
}

/** Targets of two services; each accepts connections or not. */
class Network {
  readonly unreachable = new Set<string>()
  readonly changes: string[] = []
  probes = 0
  mono = 0
  readonly paths: TargetPaths

  constructor (private readonly targets: number) {
    this.paths = new TargetPaths({
      clock: { now: () => ({ mono: this.mono, wall: this.mono }) },
      log: { write: (event, fields) => { if (event === 'targetPath') this.changes.push(`${String(fields['service'])} ${String(fields['isLost'])}`) } },
      random: { next: () => 0, id: () => '' },
      probe: {
        canConnect: async address => {
          this.probes += 1
          return !this.unreachable.has(address)
        },
        isRefused: async address => this.unreachable.has(address)
      },
      targets: service => this.idsOf(service).map(id => ({ id, address: id })),
      services: () => ['s', 'other'],
      onChanged: () => {}
    })
  }

  idsOf (service: string): readonly string[] {
    return Array.from({ length: this.targets }, (_, index) => `${service}-${index}`)
  }

  cut (...ids: readonly string[]): void {
    for (const id of ids) this.unreachable.add(id)
  }
}

/** Sends nothing; each request stays open until it is stopped. */
class SilentClient implements TargetClient {
  stops = 0

  async send (_: TargetRequest, stop: AbortSignal): Promise<Either<Failure, TargetAnswer>> {
    return await new Promise(resolve => {
      stop.addEventListener('abort', () => {
        this.stops += 1
        resolve(Left(new Failure('runnerUnreachable', 'stopped', { ran: 'unknown' })))
      })
    })
  }
}

interface CheckCase {
  readonly name: string
  readonly unreachable: readonly string[]
  readonly isLost: boolean
  readonly changes: readonly string[]
}

const checks: readonly CheckCase[] = [
  { name: 'while one target accepts connections', unreachable: ['s-0', 's-1', 's-2', 's-3'], isLost: false, changes: [] },
  { name: 'once none does', unreachable: ['s-0', 's-1', 's-2', 's-3', 's-4'], isLost: true, changes: ['s true'] },
  { name: 'once none of any service does', unreachable: [0, 1, 2, 3, 4].flatMap(index => [`s-${index}`, `other-${index}`]), isLost: true, changes: ['s true', 'other true'] }
]

describe('paths to targets', () => {
  for (const { name, unreachable, isLost, changes } of checks) {
    it(`are ${isLost ? 'lost' : 'not lost'} ${name}`, async () => {
      const network = new Network(5)
      network.cut(...unreachable)
      expect(await network.paths.check('s')).to.equal(isLost)
      await pause(5)
      expect(network.changes).to.deep.equal(changes)
    })
  }

  it('are found again by a probe', async () => {
    const network = new Network(3)
    network.cut(...network.idsOf('s'))
    expect(await network.paths.handleFailed('s', 's-0')).to.equal(false)
    expect(await network.paths.handleFailed('s', 's-1')).to.equal(true)
    network.unreachable.clear()
    network.mono = 100
    network.paths.tick()
    await pause(5)
    expect(network.paths.isLost('s')).to.equal(true)
    network.mono = 1_000
    network.paths.tick()
    await pause(5)
    expect([network.paths.isLost('s'), network.changes]).to.deep.equal([false, ['s true', 's false']])
  })

  const ends: ReadonlyArray<{ readonly name: string, readonly unreachable: readonly string[], readonly isTerminated: boolean }> = [
    { name: 'of a target that refuses alone', unreachable: ['s-0'], isTerminated: true },
    { name: 'of a target that accepts connections', unreachable: ['s-1'], isTerminated: false },
    { name: 'of targets that all refuse', unreachable: ['s-0', 's-1', 's-2'], isTerminated: false }
  ]
  for (const { name, unreachable, isTerminated } of ends) {
    it(`${isTerminated ? 'show' : 'do not show'} the end ${name}`, async () => {
      const network = new Network(3)
      network.cut(...unreachable)
      expect(await network.paths.isTerminated('s-0', 's', 100)).to.equal(isTerminated)
    })
  }

  const silences: ReadonlyArray<{ readonly name: string, readonly isCut: boolean, readonly isRepeatable: boolean, readonly stops: number }> = [
    { name: 'break off a repeatable request', isCut: true, isRepeatable: true, stops: 1 },
    { name: 'leave a request that must run once', isCut: true, isRepeatable: false, stops: 0 },
    { name: 'leave a request at a target that is only silent', isCut: false, isRepeatable: true, stops: 0 }
  ]
  for (const { name, isCut, isRepeatable, stops } of silences) {
    it(`${name} when nothing is received`, async () => {
      const network = new Network(3)
      const client = new SilentClient()
      const direct = new DirectClient({ client, paths: network.paths, clock: { now: () => ({ mono: network.mono, wall: 0 }) }, log: { write: () => {} } })
      if (isCut) network.cut(...network.idsOf('s'))
      const stop = new AbortController()
      const sent = direct.send({ ...request, service: 's', isRepeatable }, stop.signal, () => {})
      network.mono = 200
      direct.tick()
      expect(network.probes).to.equal(0)
      network.mono = 400
      direct.tick()
      await pause(5)
      expect([network.probes > 0, network.paths.isLost('s'), client.stops]).to.deep.equal([true, isCut, stops])
      stop.abort()
      expect(failureOf(await sent)?.code).to.equal(stops > 0 ? 'targetsUnreachable' : 'runnerUnreachable')
    })
  }

  it('are not used while they are lost', async () => {
    const network = new Network(1)
    network.cut('s-0')
    await network.paths.check('s')
    const client: TargetClient = { send: async () => Right({ head: { status: 200, headers: [] }, read: async () => Right(undefined) }) }
    const direct = new DirectClient({ client, paths: network.paths, clock: { now: () => ({ mono: 0, wall: 0 }) }, log: { write: () => {} } })
    const sent = await direct.send({ ...request, service: 's', isRepeatable: true }, new AbortController().signal, () => {})
    expect([failureOf(sent)?.code, failureOf(sent)?.ran]).to.deep.equal(['targetsUnreachable', 'no'])
  })
})
