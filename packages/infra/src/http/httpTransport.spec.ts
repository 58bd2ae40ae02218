/**
 * Guards against a call that reads for ever, or whose connection goes on reading after it has ended.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { HttpTransport } from './httpTransport.js'

const TIMEOUT_MS = 400
const ENDLESS_MS = 2_000
const CLOSE_MS = 200
const TRICKLE_MS = 20
const MAX_BYTES = 1_048_576
/** Largest answer and the system's buffers of a loopback connection. */
const MAX_WRITTEN_BYTES = 24 * 1024 * 1024
const PART = 'x'.repeat(65_536)
const OK = 'HTTP/1.1 200 OK\r\n'
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`

interface EndlessAnswer {
  readonly name: string
  readonly start: string
  readonly part: string
}

const answers: readonly EndlessAnswer[] = [
  { name: 'a status line', start: 'HTTP/1.1 200 ', part: PART },
  { name: 'headers', start: OK, part: 'X-More: x\r\n'.repeat(5_000) },
  { name: 'informational answers', start: '', part: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2_000) },
  { name: 'a body in chunks', start: CHUNKED, part: `10000\r\n${PART}\r\n` },
  { name: 'a chunk extension', start: `${CHUNKED}1;`, part: PART },
  { name: 'trailers', start: `${CHUNKED}0\r\n`, part: 'X-More: x\r\n'.repeat(5_000) },
  { name: 'a body without a length', start: `${OK}\r\n`, part: PART },
  { name: 'a body with a length of a gigabyte', start: `${OK}Content-Length: 1073741824\r\n\r\n`, part: PART }
]

const paces: Readonly<Record<string, (socket: Socket, part: string) => void>> = {
  fast: (socket, part) => {
    const write = (): void => { while (!socket.destroyed && socket.write(part)); }
    socket.on('drain', write)
    write()
  },
  slowly: (socket, part) => {
    let at = 0
    const timer = setInterval(() => {
      socket.write(part[at % part.length] as string)
      at += 1
    }, TRICKLE_MS)
    socket.once('close', () => { clearInterval(timer) })
  }
}

describe('HttpTransport, an answer without end', () => {
  const transport = new HttpTransport({})
  let server: Server
  let connection: Socket | undefined
  let answer: (socket: Socket) => void
  before(async () => {
    server = createServer(socket => {
      connection = socket
      socket.on('error', () => {})
      socket.once('data', () => { answer(socket) })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })
  after(() => {
    transport.close()
    server.close()
  })

  for (const { name, start, part } of answers) {
    for (const [pace, send] of Object.entries(paces)) {
      it(`ends a call that gets ${name}, sent ${pace}`, async () => {
        answer = socket => {
          socket.write(start)
          send(socket, part)
        }
        const call = transport.call({ method: 'GET', url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/`, timeoutMs: TIMEOUT_MS, maxBytes: MAX_BYTES })
        const isFailed = await Promise.race([call.then(outcome => outcome.isLeft()), pause(ENDLESS_MS, 'endless')])
        await pause(CLOSE_MS)
        const result = [isFailed, connection?.destroyed, (connection?.bytesWritten ?? 0) < MAX_WRITTEN_BYTES]
        connection?.destroy()
        expect(result).to.deep.equal([true, true, true])
      })
    }
  }
})
