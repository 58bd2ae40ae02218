/**
 * Guards against servers that keep all requests that a client sends ahead, and against responses that never learn that their connection closed.
 */
import { once } from 'node:events'
import type { RequestListener, Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { createClientGuard } from './clientGuard.fixture.js'
import type { ClientGuard } from './clientGuard.js'
import { createGuardedServer } from './guardedServer.js'

const PER_CONNECTION = 4
const TOTAL = 6
const SETTLE_MS = 100
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
const WITHOUT_HOST = 'GET / HTTP/1.1\r\n\r\n'

interface SendCase {
  readonly name: string
  /** What each connection sends at once. */
  readonly connections: readonly string[]
  /** Requests that are passed on. */
  readonly served: number
  /** Names of the server, once for each connection closed. */
  readonly closed: readonly string[]
}

const cases: readonly SendCase[] = [
  { name: 'requests within the limit of a connection', connections: [REQUEST.repeat(PER_CONNECTION + 1)], served: PER_CONNECTION + 1, closed: [] },
  { name: 'requests beyond the limit of a connection', connections: [REQUEST.repeat(2_000)], served: PER_CONNECTION + 1, closed: ['spec'] },
  { name: 'requests of two connections beyond their common limit', connections: [REQUEST.repeat(5), REQUEST.repeat(5)], served: 8, closed: ['spec'] },
  { name: 'single requests of many connections', connections: Array.from({ length: 20 }, () => REQUEST), served: 20, closed: [] },
  { name: 'requests beyond the limit that Node answers itself', connections: [REQUEST + WITHOUT_HOST.repeat(2_000)], served: 1, closed: ['spec'] }
]

describe('a guarded server', () => {
  let clients: ClientGuard
  let server: Server
  let closed: string[]
  let served: number
  const sockets: Socket[] = []

  async function listen (listener: RequestListener): Promise<void> {
    closed = []
    served = 0
    clients = createClientGuard({ aheadPerConnection: PER_CONNECTION, aheadTotal: TOTAL }, { closed: name => { closed.push(name) } })
    server = createGuardedServer({}, 'spec', clients, (req, res) => {
      served += 1
      listener(req, res)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  }

  function send (text: string): Socket {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    sockets.push(socket)
    socket.on('error', () => {})
    socket.write(text)
    return socket
  }

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy()
    server.closeAllConnections()
    server.close()
  })

  for (const { name, connections, served: expected, closed: expectedClosed } of cases) {
    it(`passes on what the limits allow of ${name}`, async () => {
      await listen(() => {})
      for (const text of connections) {
        send(text)
        await pause(SETTLE_MS)
      }
      expect({ served, closed }).to.deep.equal({ served: expected, closed: expectedClosed })
      for (const socket of sockets) socket.destroy()
      await pause(SETTLE_MS)
      expect(clients.openAhead).to.equal(0)
    })
  }

  it('answers requests sent ahead within the limits in their order', async () => {
    await listen((req, res) => { setTimeout(() => { res.end(req.url) }, req.url === '/0' ? SETTLE_MS : 0) })
    const socket = send(Array.from({ length: PER_CONNECTION + 1 }, (_, index) => `GET /${index} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''))
    let received = ''
    socket.on('data', bytes => { received += String(bytes) })
    await pause(3 * SETTLE_MS)
    expect(received.match(/(?<=\n)\/\d/g)).to.deep.equal(['/0', '/1', '/2', '/3', '/4'])
  })

  it('counts a request no longer once it is answered, whatever it expects', async () => {
    await listen((_req, res) => { res.end() })
    const socket = send('')
    for (let request = 0; request < 3 * TOTAL; request += 1) {
      socket.write(`GET / HTTP/1.1\r\nHost: h\r\nExpect: ${request % 2 === 0 ? 'nothing known' : '100-continue'}\r\n\r\n`)
      await once(socket, 'data')
    }
    expect({ closed, isClosed: socket.destroyed }).to.deep.equal({ closed: [], isClosed: false })
  })

  it('closes the responses that wait when their connection closes', async () => {
    const closedPaths: Array<string | undefined> = []
    await listen((req, res) => { res.once('close', () => { closedPaths.push(req.url) }) })
    const socket = send(['/0', '/1', '/2'].map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''))
    await pause(SETTLE_MS)
    socket.destroy()
    await pause(SETTLE_MS)
    expect(closedPaths.sort()).to.deep.equal(['/0', '/1', '/2'])
  })
})
