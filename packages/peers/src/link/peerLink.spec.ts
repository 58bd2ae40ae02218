/**
 * Links between VMs over loopback: authentication, limits, lost and unresponsive connections, late responses.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { Packr } from 'msgpackr'
import type { Either } from 'purify-ts'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { parseAddress } from './address.js'
import { KeyRing, createNonce } from './handshake.js'
import { defaultLinkLimits, type LinkLimits } from './linkTypes.js'
import { JsonRpcPeerClient, type PeerClientOptions } from './peerClient.js'
import { JsonRpcPeerServer } from './peerServer.js'

const CALL_MS = 2_000

class ManualClock implements Clock {
  mono = 1_000
  now (): Instant {
    return { mono: this.mono, wall: this.mono }
  }
}

/** `ok`, or the code of the failure and whether the call ran. */
function outcomeOf (answer: Either<Failure, unknown>): string {
  return answer.caseOf({ Left: err => `${err.code} ${err.ran}`, Right: () => 'ok' })
}

describe('links between VMs', () => {
  const closers: (() => unknown)[] = []
  const noopLog = { write: () => {} }

  async function startServer (keys: readonly string[], limits: Partial<LinkLimits> = {}): Promise<JsonRpcPeerServer> {
    const server = new JsonRpcPeerServer({ holder: 'b~1', keys }, noopLog, { ...defaultLinkLimits, ...limits })
    closers.push(() => server.close())
    server.register('echo', async params => params)
    server.register('whoCalls', async (_params, from) => from)
    server.register('never', () => new Promise(() => {}))
    server.register('refuse', async () => { throw new Failure('draining', 'going away', { ran: 'no', retryAfterMs: 700 }) })
    server.register('break', async () => { throw new Error('broken') })
    server.register('large', async () => 'x'.repeat(defaultLinkLimits.frameBytes))
    await server.listen('127.0.0.1:0')
    return server
  }

  function createClient (keys: readonly string[], options: Partial<PeerClientOptions> = {}, limits: Partial<LinkLimits> = {}): JsonRpcPeerClient {
    const client = new JsonRpcPeerClient({
      identity: { holder: 'a~1', keys },
      clock: new ManualClock(),
      random: () => 0.5,
      limits: { ...defaultLinkLimits, ...limits },
      ...options
    })
    closers.push(() => client.close())
    return client
  }

  afterEach(async () => {
    for (const close of closers.splice(0).reverse()) await close()
  })

  const keyCases = [
    { title: 'same key', client: ['new'], server: ['new'], expected: 'ok' },
    { title: 'key rotation, client signs with the new key', client: ['new', 'old'], server: ['old', 'new'], expected: 'ok' },
    { title: 'key rotation, server signs with the new key', client: ['old', 'new'], server: ['new', 'old'], expected: 'ok' },
    { title: 'old key removed from the server', client: ['old'], server: ['new'], expected: 'peerRefused no' },
    { title: 'the server accepts the key of the client, but signs with another one', client: ['wrong'], server: ['new', 'wrong'], expected: 'peerRefused no' },
    { title: 'the client accepts the key of the server, but signs with another one', client: ['wrong', 'new'], server: ['new'], expected: 'peerRefused no' }
  ]
  for (const { title, client, server, expected } of keyCases) {
    it(`${expected}: ${title}`, async () => {
      const { address } = await startServer(server)
      expect(outcomeOf(await createClient(client).call(address, 'echo', {}, CALL_MS))).equal(expected)
    })
  }

  it('rejects a missing or empty key', () => {
    for (const keys of [[], ['']]) expect(() => new KeyRing(keys)).throw(Failure)
  })

  it('accepts neither a reflected proof nor a proof of another handshake', () => {
    const ring = new KeyRing(['k'])
    const transcript = { clientHolder: 'a~1', serverHolder: 'b~1', clientNonce: createNonce(), serverNonce: createNonce() }
    const proof = ring.prove('server', transcript)
    expect(ring.verify('server', transcript, proof)).equal(true)
    expect(ring.verify('client', transcript, proof)).equal(false)
    expect(ring.verify('server', { ...transcript, clientNonce: createNonce() }, proof)).equal(false)
    expect(ring.verify('server', { ...transcript, clientHolder: 'c~1' }, proof)).equal(false)
    expect(ring.verify('server', transcript, proof.subarray(1))).equal(false)
  })

  const callCases = [
    { method: 'echo', expected: 'ok' },
    { method: 'refuse', expected: 'draining no' },
    { method: 'break', expected: 'internal unknown' },
    { method: 'absent', expected: 'peerRefused no' },
    { method: 'large', expected: 'bodyTooLarge yes' },
    { method: 'never', expected: 'peerUnreachable unknown', timeoutMs: 30 }
  ]
  for (const { method, expected, timeoutMs = CALL_MS } of callCases) {
    it(`a call of '${method}' ends with ${expected}, and the link stays usable`, async () => {
      const { address } = await startServer(['k'])
      const client = createClient(['k'])
      expect(outcomeOf(await client.call(address, method, { a: 1 }, timeoutMs))).equal(expected)
      expect((await client.call(address, 'whoCalls', null, CALL_MS)).extract()).equal('a~1')
    })
  }

  it('sends many record shapes over one link, even after a frame that was too large to send', async () => {
    const { address } = await startServer(['k'])
    const client = createClient(['k'])
    for (let i = 0; i < 200; i += 1) {
      const value = { [`field${i % 90}`]: i, nested: { [`deep${i % 40}`]: [i, null] } }
      expect((await client.call(address, 'echo', value, CALL_MS)).extract()).deep.equal(value)
      if (i !== 100) continue
      const large = { unseenShape: 'x'.repeat(defaultLinkLimits.frameBytes) }
      expect(outcomeOf(await client.call(address, 'echo', large, CALL_MS))).equal('bodyTooLarge no')
    }
  })

  it('closes a connection whose frame exceeds the limit, and fails its open calls', async () => {
    const { address } = await startServer(['k'], { frameBytes: 100_000 })
    const client = createClient(['k'])
    const large = 'x'.repeat(1_000_000)
    expect(outcomeOf(await client.call(address, 'echo', large, CALL_MS))).equal('peerUnreachable unknown')
    expect(outcomeOf(await client.call(address, 'echo', 'small', CALL_MS))).equal('ok')
  })

  const unauthenticatedClients = [
    { title: 'sends nothing', bytes: Buffer.alloc(0) },
    { title: 'sends no hello', bytes: Buffer.from(new Packr().pack({ jsonrpc: '2.0', id: 1, method: 'echo' })) },
    { title: 'exceeds the handshake limit before its proof', bytes: Buffer.alloc(defaultLinkLimits.handshakeBytes + 1, 0xc0) },
    { title: 'announces a huge length', bytes: Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff]) }
  ]
  for (const { title, bytes } of unauthenticatedClients) {
    it(`drops an unauthenticated client that ${title}`, async () => {
      const { address } = await startServer(['k'], { handshakeMs: 50 })
      const socket = connect(parseAddress(address))
      closers.push(() => socket.destroy())
      socket.resume()
      socket.write(bytes)
      await once(socket, 'close')
    })
  }

  it('reports unknown for a call whose connection was lost, and connects again for the next one', async () => {
    const { address } = await startServer(['k'])
    const sockets: Socket[] = []
    const dial = (to: string): Socket => {
      const socket = connect(parseAddress(to))
      sockets.push(socket)
      return socket
    }
    const client = createClient(['k'], { dial })
    expect(outcomeOf(await client.call(address, 'echo', 1, CALL_MS))).equal('ok')
    const open = client.call(address, 'never', null, CALL_MS)
    sockets[0]!.destroy()
    expect(outcomeOf(await open)).equal('peerUnreachable unknown')
    expect(outcomeOf(await client.call(address, 'echo', 1, CALL_MS)), 'reconnects on demand').equal('ok')
    expect(sockets.length).equal(2)
  })

  it('fails immediately during the backoff and reconnects after it', async () => {
    const closedServer = createServer()
    closedServer.listen(0, '127.0.0.1')
    await once(closedServer, 'listening')
    const address = `127.0.0.1:${(closedServer.address() as AddressInfo).port}`
    closedServer.close()
    await once(closedServer, 'close')
    let dials = 0
    const clock = new ManualClock()
    const client = createClient(['k'], { clock, dial: to => { dials += 1; return connect(parseAddress(to)) } })
    for (const [afterMs, expectedDials] of [[0, 1], [0, 1], [75, 2], [75, 2], [76, 3]] as const) {
      clock.mono += afterMs
      expect(outcomeOf(await client.call(address, 'echo', 1, CALL_MS))).equal('peerUnreachable no')
      expect(dials).equal(expectedDials)
    }
  })

  it('limits the concurrent calls to one peer', async () => {
    const { address } = await startServer(['k'])
    const client = createClient(['k'], {}, { openCalls: 2 })
    const open = [client.call(address, 'never', null, 50), client.call(address, 'never', null, 50)]
    expect(outcomeOf(await client.call(address, 'echo', 1, CALL_MS))).equal('overloaded no')
    await Promise.all(open)
    expect(outcomeOf(await client.call(address, 'echo', 1, CALL_MS))).equal('ok')
  })

  it('closes a link whose peer does not answer a probe', async () => {
    const { address } = await startServer(['k'])
    const clock = new ManualClock()
    const sockets: Socket[] = []
    const client = createClient(['k'], { clock, dial: to => { sockets.push(connect(parseAddress(to))); return sockets.at(-1)! } })
    await client.call(address, 'echo', 1, CALL_MS)
    sockets[0]!.pause()
    clock.mono += defaultLinkLimits.probeAfterMs + 1
    client.notify(address, 'echo', 1)
    clock.mono += defaultLinkLimits.probeTimeoutMs + 1
    client.notify(address, 'echo', 1)
    expect(sockets[0]!.destroyed).equal(true)
    expect(outcomeOf(await client.call(address, 'echo', 1, CALL_MS))).equal('ok')
  })

  it('opens a new link after a call without response, and retires other links that received nothing since', async () => {
    const servers = [await startServer(['k']), await startServer(['k'])]
    const clock = new ManualClock()
    const sockets: Socket[] = []
    const reported: number[] = []
    const client = createClient(['k'], { clock, dial: to => { sockets.push(connect(parseAddress(to))); return sockets.at(-1)! }, onUnresponsive: since => { reported.push(since) } })
    for (const { address } of servers) await client.call(address, 'echo', 1, CALL_MS)
    for (const socket of sockets) socket.pause()
    clock.mono += 10
    expect(outcomeOf(await client.call(servers[0]!.address, 'echo', 1, 60))).equal('peerUnreachable unknown')
    clock.mono += 60
    expect(outcomeOf(await client.call(servers[0]!.address, 'echo', 1, CALL_MS))).equal('ok')
    expect([sockets.length, reported]).deep.equal([3, [1_010]])
    expect(outcomeOf(await client.call(servers[1]!.address, 'echo', 1, CALL_MS))).equal('ok')
    expect(sockets.length).equal(4)
  })

  it('delivers a response that arrives after the timeout, even on a retired link', async () => {
    const server = await startServer(['k'])
    server.register('slow', async params => {
      await pause(120)
      return params
    })
    const lateResults: unknown[] = []
    const client = createClient(['k'])
    await client.call(server.address, 'echo', 1, CALL_MS)
    expect(outcomeOf(await client.call(server.address, 'slow', 7, 60, result => { lateResults.push(result) }))).equal('peerUnreachable unknown')
    expect(outcomeOf(await client.call(server.address, 'echo', 1, CALL_MS))).equal('ok')
    await pause(150)
    expect(lateResults).deep.equal([7])
  })

  it('does not time out a call whose response arrived while the process was blocked', async () => {
    const { address } = await startServer(['k'])
    const client = createClient(['k'])
    await client.call(address, 'echo', 1, CALL_MS)
    const answer = client.call(address, 'echo', 1, 60)
    await pause(0)
    // The request is sent; blocking the process keeps it from reading the response in time.
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 100)
    expect(outcomeOf(await answer)).equal('ok')
  })

  it('does not retire a link on which one call timed out but others were answered', async () => {
    const { address } = await startServer(['k'])
    const clock = new ManualClock()
    let dials = 0
    const client = createClient(['k'], { clock, dial: to => { dials += 1; return connect(parseAddress(to)) } })
    await client.call(address, 'echo', 1, CALL_MS)
    const slow = client.call(address, 'never', 1, 60)
    clock.mono += 10
    await client.call(address, 'echo', 1, CALL_MS)
    await slow
    await client.call(address, 'echo', 1, CALL_MS)
    expect(dials).equal(1)
  })

  it('delivers notifications in order, including those sent during the handshake', async () => {
    const server = await startServer(['k'])
    const received: unknown[] = []
    server.register('note', async params => { received.push(params) })
    const client = createClient(['k'])
    for (let i = 0; i < 5; i += 1) client.notify(server.address, 'note', i)
    await client.call(server.address, 'echo', 1, CALL_MS)
    expect(received).deep.equal([0, 1, 2, 3, 4])
  })
})
