/**
 * Listening: the address in use is told, and one that is taken is a rejection, not a fault of the process.
 */
import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { expect } from 'chai'
import { httpLimitsSchema } from './httpLimits.js'
import { HttpServer } from './httpServer.js'

function newServer (): HttpServer {
  return new HttpServer({ log: { write: () => {} }, limits: httpLimitsSchema.parse({}) })
}

describe('listening of an HTTP server', () => {
  it('tells the address in use', async () => {
    const server = newServer()
    expect(await server.listen('127.0.0.1:0')).to.match(/^127\.0\.0\.1:[1-9]\d*$/)
    await server.close()
  })

  it('is rejected when the address is taken', async () => {
    const taken = createServer().listen(0, '127.0.0.1')
    await once(taken, 'listening')
    const { port } = taken.address() as AddressInfo
    const outcome = await newServer().listen(`127.0.0.1:${port}`).catch((err: NodeJS.ErrnoException) => err.code)
    taken.close()
    expect(outcome).to.equal('EADDRINUSE')
  })
})
