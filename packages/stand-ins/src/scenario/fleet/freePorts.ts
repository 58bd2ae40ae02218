/**
 * Allocates ports for the processes of a scenario. They lie below the usual ephemeral range, so that
 * no outgoing connection occupies one before it is used or while its VM is down.
 */
import { createServer } from 'node:net'
import { once } from 'node:events'

const FIRST_PORT = 12_000
const PORT_COUNT = 16_000
const PID_STRIDE = 97

let nextOffset = (process.pid * PID_STRIDE) % PORT_COUNT

/** Finds a free port on 127.0.0.1; this process does not return one again before the range wraps around. */
export async function allocatePort (): Promise<number> {
  for (let attempt = 0; attempt < PORT_COUNT; attempt++) {
    const port = FIRST_PORT + nextOffset
    nextOffset = (nextOffset + 1) % PORT_COUNT
    if (await isFree(port)) return port
  }
  throw new Error('no free port is left in the range for scenarios')
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  try {
    server.listen(port, '127.0.0.1')
    await once(server, 'listening')
    server.close()
    await once(server, 'close')
    return true
  } catch {
    return false
  }
}
