/** Guards against a server whose places are all held by clients that connect and send nothing. */
import { Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { WaitingConnections } from './waitingConnections.js'

const WAITED_MS = 150

interface WaitCase {
  readonly name: string
  /** Numbers of connections on which a request came. */
  readonly requested: readonly number[]
  readonly waitMs: number
  /** Number of the connection that makes room; undefined if none does. */
  readonly closed: number | undefined
}

const cases: readonly WaitCase[] = [
  { name: 'closes the connection that has waited longest', requested: [], waitMs: WAITED_MS, closed: 0 },
  { name: 'keeps connections that have brought a request', requested: [0], waitMs: WAITED_MS, closed: 1 },
  { name: 'closes none if all have brought a request', requested: [0, 1], waitMs: WAITED_MS, closed: undefined },
  { name: 'leaves new connections time for their request', requested: [], waitMs: 0, closed: undefined }
]

describe('WaitingConnections', () => {
  for (const { name, requested, waitMs, closed } of cases) {
    it(name, async () => {
      const waiting = new WaitingConnections()
      const sockets = [new Socket(), new Socket()]
      for (const socket of sockets) waiting.opened(socket)
      for (const index of requested) waiting.requested(sockets[index] as Socket)
      await pause(waitMs)
      expect(waiting.closeOldest()).to.equal(closed !== undefined)
      expect(sockets.findIndex(({ destroyed }) => destroyed)).to.equal(closed ?? -1)
      for (const socket of sockets) socket.destroy()
    })
  }
})
