/** Guards against a fault of one VM's link that affects other VMs, drops held bytes or spares a new connection. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { FakeLink, type LinkState } from './fakeLink.js'
import { takePort } from './freePorts.js'
import { waitFor } from './waiting.js'

const LIMIT_MS = 10_000

interface Near { readonly socket: Socket, text: string, closed: boolean }

describe('fake link', () => {
  let echo: Server
  let link: FakeLink
  let port: number
  const near: Near[] = []

  beforeEach(async () => {
    echo = createServer(socket => socket.on('error', () => {}).pipe(socket)).listen(0, '127.0.0.1')
    await once(echo, 'listening')
    port = await takePort()
    link = new FakeLink(port, (echo.address() as AddressInfo).port)
    await link.open()
  })

  afterEach(() => {
    link.close()
    for (const { socket } of near.splice(0)) socket.destroy()
    echo.close()
  })

  async function say (holder: string): Promise<Near> {
    const caller: Near = { socket: connect(port, '127.0.0.1'), text: '', closed: false }
    near.push(caller)
    caller.socket.on('data', chunk => { caller.text += chunk.toString() }).on('close', () => { caller.closed = true }).on('error', () => {})
    caller.socket.write(holder)
    return caller
  }

  const cases: ReadonlyArray<{ readonly state: LinkState, readonly q1: (caller: Near) => boolean }> = [
    { state: 'open', q1: caller => caller.text === 'q1~abcd more' },
    { state: 'held', q1: caller => caller.text === 'q1~abcd' && !caller.closed },
    { state: 'cut', q1: caller => caller.closed }
  ]
  for (const { state, q1 } of cases) {
    it(`${state} for one VM does not affect another`, async () => {
      const [one, two] = [await say('q1~abcd'), await say('q2~abcd')]
      await waitFor('both echoes', LIMIT_MS, () => one.text !== '' && two.text !== '')
      link.set('q1', state)
      one.socket.write(' more')
      two.socket.write(' more')
      await waitFor('the echo of the other VM', LIMIT_MS, () => two.text === 'q2~abcd more')
      await waitFor(`the link of q1 to be ${state}`, LIMIT_MS, () => q1(one))
      if (state !== 'held') return
      link.set('q1', 'open')
      await waitFor('the held bytes', LIMIT_MS, () => one.text === 'q1~abcd more')
    })
  }

  it('closes a new connection of a VM that is cut', async () => {
    link.set('q1', 'cut')
    const caller = await say('q1~abcd')
    await waitFor('the connection to close', LIMIT_MS, () => caller.closed)
    expect(caller.text).to.equal('')
  })
})
