/**
 * Links between the VMs of a fleet, opened once the key of the fleet could be had. Whoever calls
 * before that, or a VM that cannot be reached, gets `peerUnreachable`.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { Left, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { defaultLinkLimits, type LateAnswer, type LinkLimits, type PeerMethod } from '@rosemaryspread/peers/link/linkTypes.js'
import { JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import { JsonRpcPeerServer } from '@rosemaryspread/peers/link/peerServer.js'
import { fleetKey } from './fleetKey.js'

/** Milliseconds before the key is asked for again: the store may be out of reach, or another VM is making it. */
const KEY_RETRY_MS = 300
/**
 * Limits of the links: a connection that went silent without a reset is noticed within a second of its
 * use, and the next call opens another. Round trips take some milliseconds.
 */
const limits: LinkLimits = { ...defaultLinkLimits, handshakeMs: 500, probeAfterMs: 400, probeTimeoutMs: 400 }

/** What links work with. */
export interface FleetLinksParts {
  readonly holder: string
  /** IPv4:port on which other VMs reach this one; absent where there are no links. */
  readonly address: string | undefined
  readonly table: TableStore
  readonly clock: Clock
  readonly log: EventLog
  /** Uniform in [0, 1). */
  random (): number
  /** Told when links went silent, with the monotonic milliseconds after which nothing was heard. */
  onSilence (since: number): void
}

/**
 * Other VMs up to which all are told of something over links. Beyond it each hears of little that concerns it, and links between all VMs are
 * opened for it: with 60 VMs a calm day took 185 s of processor time without notices of prompts, 230 s with them, at the same worth
 * (0.702, 0.693); news of ended targets come as quickly by a feed.
 */
export const MOST_TOLD = 20

/** Links of one VM. */
export class FleetLinks {
  private readonly methods = new Map<string, PeerMethod>()
  private client: JsonRpcPeerClient | undefined
  private server: JsonRpcPeerServer | undefined
  private isClosed = false

  constructor (private readonly parts: FleetLinksParts) {}

  /**
   * Adds a method that other VMs may call; to be called before the links are opened.
   * @param method - method name
   * @param handler - serves the calls
   */
  serve (method: string, handler: PeerMethod): void {
    this.methods.set(method, handler)
  }

  /** The address listened on, as IPv4:port; absent while the links are not open. */
  get listening (): string | undefined {
    return this.server?.address
  }

  /** Opens the links; resolves once they are open, or closed meanwhile. */
  async open (): Promise<void> {
    const { address, holder, clock, log, random, onSilence } = this.parts
    if (address === undefined) return
    const key = await this.key()
    if (key === undefined) return
    const identity = { holder, keys: [key] }
    const server = new JsonRpcPeerServer(identity, log, limits)
    for (const [method, handler] of this.methods) server.register(method, handler)
    this.server = server
    this.client = new JsonRpcPeerClient({ identity, clock, random, limits, onSilence })
    await server.listen(address)
  }

  /**
   * Calls another VM.
   * @param address - IPv4:port of its links
   * @param method - method name
   * @param params - a value that msgpackr can carry
   * @param timeoutMs - milliseconds until the call is given up
   * @param onLate - takes a result that comes after that
   */
  async call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateAnswer): Promise<Either<Failure, unknown>> {
    if (this.client === undefined) return Left(new Failure('peerUnreachable', 'the links of this VM are not open'))
    return await this.client.call(address, method, params, timeoutMs, onLate)
  }

  /**
   * Tells another VM something that nobody answers; dropped where it cannot be reached.
   * @param address - IPv4:port of its links
   * @param method - method name
   * @param params - a value that msgpackr can carry
   */
  notify (address: string, method: string, params: unknown): void {
    this.client?.notify(address, method, params)
  }

  /** Drops all links. */
  async close (): Promise<void> {
    this.isClosed = true
    this.client?.close()
    await this.server?.close()
  }

  private async key (): Promise<string | undefined> {
    while (!this.isClosed) {
      const key = await fleetKey(this.parts.table)
      if (key.isRight()) return key.extract()
      key.ifLeft(({ code }) => { this.parts.log.write('fleetKeyMissing', { code }) })
      await pause(KEY_RETRY_MS)
    }
    return undefined
  }
}
