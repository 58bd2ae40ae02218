/**
 * RPC links between the VMs of a fleet, opened once the fleet key is available. Calls before that, and
 * calls to an unreachable VM, fail with `peerUnreachable`.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { Left, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { defaultLinkLimits, type LateResponseHandler, type LinkLimits, type PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import { JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import { JsonRpcPeerServer } from '@rosemaryspread/peers/link/peerServer.js'
import { fleetKey } from './fleetKey.js'

/** Delay before the key is read again: the table may be unreachable, or another VM is creating the key. */
const KEY_RETRY_MS = 300
/**
 * Detects a connection that became unresponsive without a reset within a second of its use; the next call
 * opens another. Round trips take a few milliseconds.
 */
const linkLimits: LinkLimits = { ...defaultLinkLimits, handshakeMs: 500, probeAfterMs: 400, probeTimeoutMs: 400 }

export interface FleetLinksParts {
  readonly holder: string
  /** IPv4:port on which other VMs reach this one; absent when links are disabled. */
  readonly address: string | undefined
  readonly table: TableStore
  readonly clock: Clock
  readonly log: EventLog
  /** Links that other VMs may open at the same time; absent for the default limit. */
  readonly connections?: number
  /** Uniform in [0, 1). */
  random (): number
  /** Called when links were found unresponsive, with the monotonic milliseconds since which nothing was received. */
  onUnresponsive (since: number): void
}

/**
 * Maximum number of peers to which notifications are broadcast over links. In a larger fleet few of them concern any one recipient, while
 * links between all VMs cost processor time; updates about terminated targets then arrive as quickly through a feed.
 */
export const MAX_NOTIFIED_PEERS = 20

/** Client and server of the links of this VM. */
export class FleetLinks {
  private readonly methods = new Map<string, PeerMethodHandler>()
  private client: JsonRpcPeerClient | undefined
  private server: JsonRpcPeerServer | undefined
  private isClosed = false

  constructor (private readonly parts: FleetLinksParts) {}

  /** Registers a method that other VMs may call. Must be called before {@link open}. */
  serve (method: string, handler: PeerMethodHandler): void {
    this.methods.set(method, handler)
  }

  /** The listening address as IPv4:port; absent until the links are open. */
  get listening (): string | undefined {
    return this.server?.address
  }

  /** Opens the links; resolves once they are open, or were closed meanwhile. */
  async open (): Promise<void> {
    const { address, holder, clock, log, random, onUnresponsive } = this.parts
    if (address === undefined) return
    const key = await this.key()
    if (key === undefined) return
    const identity = { holder, keys: [key] }
    const { connections = linkLimits.connections } = this.parts
    const server = new JsonRpcPeerServer(identity, log, { ...linkLimits, connections: Math.min(connections, linkLimits.connections) })
    for (const [method, handler] of this.methods) server.register(method, handler)
    this.server = server
    this.client = new JsonRpcPeerClient({ identity, clock, random, limits: linkLimits, onUnresponsive })
    await server.listen(address)
  }

  /**
   * Calls another VM.
   * @param address - IPv4:port of its links
   * @param params - a value that msgpackr can encode
   * @param onLate - receives a result that arrives after the timeout
   */
  async call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateResponseHandler): Promise<Either<Failure, unknown>> {
    if (this.client === undefined) return Left(new Failure('peerUnreachable', 'the links of this VM are not open', { ran: 'no' }))
    return await this.client.call(address, method, params, timeoutMs, onLate)
  }

  /**
   * Sends a notification to another VM; dropped when the VM is unreachable.
   * @param address - IPv4:port of its links
   * @param params - a value that msgpackr can encode
   */
  notify (address: string, method: string, params: unknown): void {
    this.client?.notify(address, method, params)
  }

  /** Closes all links, and ends a pending {@link open}. */
  async close (): Promise<void> {
    this.isClosed = true
    this.client?.close()
    await this.server?.close()
  }

  private async key (): Promise<string | undefined> {
    while (!this.isClosed) {
      const key = await fleetKey(this.parts.table)
      if (this.isClosed) return undefined
      if (key.isRight()) return key.extract()
      key.ifLeft(({ code }) => { this.parts.log.write('fleetKeyMissing', { code }) })
      await pause(KEY_RETRY_MS)
    }
    return undefined
  }
}
