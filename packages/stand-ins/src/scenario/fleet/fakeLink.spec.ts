/** Guards against a fault of one VM's link that affects other VMs, drops held bytes or spares a new connection. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { FakeLink, type LinkState } from './fakeLink.js'
import { allocatePort } from './freePorts.js'
import { waitFor } from './waitFor.js'

const WAIT_TIMEOUT_MS = 10_000

interface TestConnection { readonly socket: Socket, text: string, closed: boolean }

describe('fake link', () => {
  let echo: Server
  let link: FakeLink
  let port: number
  const connections: TestConnection[] = []

  beforeEach(async () => {
    echo = createServer(socket => socket.on('error', () => {}).pipe(socket)).listen(0, '127.0.0.1')
    await once(echo, 'listening')
    port = await allocatePort()
    link = new FakeLink(port, (echo.address() as AddressInfo).port)
    await link.open()
  })

  afterEach(() => {
    link.close()
    for (const { socket } of connections.splice(0)) socket.destroy()
    echo.close()
  })

  async function connectAs (holder: string): Promise<TestConnection> {
    const connection: TestConnection = { socket: connect(port, '127.0.0.1'), text: '', closed: false }
    connections.push(connection)
    connection.socket.on('data', chunk => { connection.text += chunk.toString() }).on('close', () => { connection.closed = true }).on('error', () => {})
    connection.socket.write(holder)
    return connection
  }

  const cases: ReadonlyArray<{ readonly state: LinkState, readonly q1: (connection: TestConnection) => boolean }> = [
    { state: 'open', q1: connection => connection.text === 'q1~abcd more' },
    { state: 'held', q1: connection => connection.text === 'q1~abcd' && !connection.closed },
    { state: 'cut', q1: connection => connection.closed }
  ]
  for (const { state, q1 } of cases) {
    it(`${state} for one VM does not affect another`, async () => {
      const [one, two] = [await connectAs('q1~abcd'), await connectAs('q2~abcd')]
      await waitFor('both echoes', WAIT_TIMEOUT_MS, () => one.text !== '' && two.text !== '')
      link.set('q1', state)
      one.socket.write(' more')
      two.socket.write(' more')
      await waitFor('the echo of the other VM', WAIT_TIMEOUT_MS, () => two.text === 'q2~abcd more')
      await waitFor(`the link of q1 to be ${state}`, WAIT_TIMEOUT_MS, () => q1(one))
      if (state !== 'held') return
      link.set('q1', 'open')
      await waitFor('the held bytes', WAIT_TIMEOUT_MS, () => one.text === 'q1~abcd more')
    })
  }

  it('closes a new connection of a VM that is cut', async () => {
    link.set('q1', 'cut')
    const connection = await connectAs('q1~abcd')
    await waitFor('the connection to close', WAIT_TIMEOUT_MS, () => connection.closed)
    expect(connection.text).to.equal('')
  })
})
