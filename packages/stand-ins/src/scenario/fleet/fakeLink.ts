/**
 * TCP relay in front of the peer port of one VM that simulates network partitions. It identifies
 * the connecting VM by the holder id in the first bytes of the handshake, and closes the
 * connections of a cut VM or holds their bytes until the cut heals.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { once } from 'node:events'

const HOST = '127.0.0.1'
const HOLDER = /([a-z0-9][a-z0-9-]*)~[0-9a-f]{4}/

/** `cut` closes connections, `held` stops reading them. */
export type LinkState = 'open' | 'cut' | 'held'

/** One relayed connection; `from` is the connecting VM once it is identified. */
interface Relay {
  readonly near: Socket
  readonly far: Socket
  from: string | undefined
}

export class FakeLink {
  private readonly states = new Map<string, LinkState>()
  private readonly relays = new Set<Relay>()
  private readonly server: Server

  /**
   * @param port - port to which other VMs connect
   * @param target - peer port of the VM
   */
  constructor (private readonly port: number, private readonly target: number) {
    this.server = createServer(near => this.accept(near))
  }

  async open (): Promise<void> {
    this.server.listen(this.port, HOST)
    await once(this.server, 'listening')
  }

  close (): void {
    this.server.close()
    for (const relay of this.relays) end(relay)
  }

  /** Sets the state of the link for connections from this VM, existing and new. */
  set (vm: string, state: LinkState): void {
    this.states.set(vm, state)
    for (const relay of this.relays) if (relay.from === vm) this.apply(relay)
  }

  private accept (near: Socket): void {
    const far = connect(this.target, HOST)
    const relay: Relay = { near, far, from: undefined }
    this.relays.add(relay)
    for (const socket of [near, far]) {
      socket.setNoDelay(true)
      socket.on('error', () => end(relay))
      socket.on('close', () => {
        end(relay)
        this.relays.delete(relay)
      })
    }
    near.on('data', chunk => this.forward(relay, chunk))
    far.on('data', chunk => { near.write(chunk) })
  }

  private forward (relay: Relay, chunk: Buffer): void {
    if (relay.from === undefined) {
      relay.from = HOLDER.exec(chunk.toString('latin1'))?.[1]
      if (relay.from !== undefined) this.apply(relay)
    }
    relay.far.write(chunk)
  }

  private apply (relay: Relay): void {
    const state = this.states.get(relay.from ?? '') ?? 'open'
    if (state === 'cut') end(relay)
    for (const socket of [relay.near, relay.far]) {
      if (state === 'held') socket.pause()
      else socket.resume()
    }
  }
}

function end (relay: Relay): void {
  relay.near.destroy()
  relay.far.destroy()
}
