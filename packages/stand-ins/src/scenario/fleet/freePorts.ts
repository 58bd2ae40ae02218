/**
 * Allocates ports for the processes of a scenario. They lie below the usual ephemeral range, so that
 * no outgoing connection occupies one before it is used or while its VM is down.
 */
import { createServer } from 'node:net'
import { once } from 'node:events'

const FIRST_PORT = 12_000
const PORT_COUNT = 16_000
const STEP_BY_PROCESS = 97

let next = (process.pid * STEP_BY_PROCESS) % PORT_COUNT

/** Finds a free port on 127.0.0.1; this process does not return one again before the range wraps around. */
export async function takePort (): Promise<number> {
  for (let tries = 0; tries < PORT_COUNT; tries++) {
    const port = FIRST_PORT + next
    next = (next + 1) % PORT_COUNT
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
