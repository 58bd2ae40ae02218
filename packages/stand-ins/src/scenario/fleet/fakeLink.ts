/**
 * TCP relay in front of the peer port of one VM that simulates network partitions. It identifies
 * the connecting VM by the holder id in the first bytes of the handshake, and closes the
 * connections of a cut VM or holds their bytes until the cut heals.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { once } from 'node:events'

const HOST = '127.0.0.1'
const HOLDER_PATTERN = /([a-z0-9][a-z0-9-]*)~[0-9a-f]{4}/

/** `cut` closes connections, `held` stops reading them. */
export type LinkState = 'open' | 'cut' | 'held'

/** One relayed connection; `from` is the connecting VM once it is identified. */
interface Relay {
  readonly inbound: Socket
  readonly outbound: Socket
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
    this.server = createServer(socket => this.accept(socket))
  }

  async open (): Promise<void> {
    this.server.listen(this.port, HOST)
    await once(this.server, 'listening')
  }

  close (): void {
    this.server.close()
    for (const relay of this.relays) closeRelay(relay)
  }

  /** Sets the state of the link for connections from this VM, existing and new. */
  set (vm: string, state: LinkState): void {
    this.states.set(vm, state)
    for (const relay of this.relays) if (relay.from === vm) this.applyState(relay)
  }

  private accept (inbound: Socket): void {
    const outbound = connect(this.target, HOST)
    const relay: Relay = { inbound, outbound, from: undefined }
    this.relays.add(relay)
    for (const socket of [inbound, outbound]) {
      socket.setNoDelay(true)
      socket.on('error', () => closeRelay(relay))
      socket.on('close', () => {
        closeRelay(relay)
        this.relays.delete(relay)
      })
    }
    inbound.on('data', chunk => this.forward(relay, chunk))
    outbound.on('data', chunk => { inbound.write(chunk) })
  }

  private forward (relay: Relay, chunk: Buffer): void {
    if (relay.from === undefined) {
      relay.from = HOLDER_PATTERN.exec(chunk.toString('latin1'))?.[1]
      if (relay.from !== undefined) this.applyState(relay)
    }
    relay.outbound.write(chunk)
  }

  private applyState (relay: Relay): void {
    const state = this.states.get(relay.from ?? '') ?? 'open'
    if (state === 'cut') closeRelay(relay)
    for (const socket of [relay.inbound, relay.outbound]) {
      if (state === 'held') socket.pause()
      else socket.resume()
    }
  }
}

function closeRelay (relay: Relay): void {
  relay.inbound.destroy()
  relay.outbound.destroy()
}
