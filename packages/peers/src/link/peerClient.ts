/**
 * Calls other VMs over TCP. Links are opened on demand, also after a connection loss; after a failed attempt calls fail
 * immediately until a jittered exponential backoff has passed.
 */
import { connect } from 'node:net'
import { Either, Left } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { parseAddress } from './address.js'
import { KeyRing } from './handshake.js'
import { defaultLinkLimits, type Dial, type LateResponseHandler, type LinkLimits, type PeerClient, type PeerIdentity, type PeerNotifier } from './linkTypes.js'
import { PeerLink, type LinkContext } from './peerLink.js'

/** Maximum number of addresses with cached state; the least recently used is evicted. */
const MAX_PEERS = 1_024
const MAX_BACKOFF_DOUBLINGS = 10

/** Default {@link Dial}; throws on an address that is not IPv4:port. */
export const dialTcp: Dial = address => connect(parseAddress(address))

/** State of one address. */
interface PeerState {
  link: PeerLink | undefined
  openCalls: number
  failures: number
  /** Monotonic milliseconds before which no connection attempt is made. */
  nextAttemptAt: number
  /** Monotonic start time of the call that found the link unresponsive; cleared when a new link opens. */
  unansweredAt?: number
}

interface OpenCall {
  readonly method: string
  readonly params: unknown
  readonly timeoutMs: number
  readonly onLate: LateResponseHandler | undefined
}

export interface PeerClientOptions {
  readonly identity: PeerIdentity
  readonly clock: Clock
  /** Uniform in [0, 1), for jitter. */
  readonly random: () => number
  readonly dial?: Dial
  readonly limits?: LinkLimits
  /**
   * Called when a peer answered on a new connection but not on an old one, so other old connections may be dead too.
   * Receives the monotonic milliseconds since which the old connection received nothing.
   */
  readonly onUnresponsive?: (unresponsiveSince: number) => void
}

/** Peer client over TCP, JSON-RPC and msgpackr. */
export class JsonRpcPeerClient implements PeerClient, PeerNotifier {
  private readonly peers = new Map<string, PeerState>()
  private readonly context: LinkContext
  private readonly limits: LinkLimits
  private readonly clock: Clock
  private readonly random: () => number
  private readonly dial: Dial
  private readonly onUnresponsive: (unresponsiveSince: number) => void
  private isClosed = false

  /**
   * @throws Failure `settingsInvalid` when there is no usable key
   */
  constructor (options: PeerClientOptions) {
    this.limits = options.limits ?? defaultLinkLimits
    this.clock = options.clock
    this.random = options.random
    this.dial = options.dial ?? dialTcp
    this.onUnresponsive = options.onUnresponsive ?? (() => {})
    this.context = {
      holder: options.identity.holder,
      keys: new KeyRing(options.identity.keys),
      limits: this.limits,
      clock: this.clock
    }
  }

  /**
   * Calls a method of a VM. Besides failures of the method: `peerUnreachable` (`ran: no` without a connection, `unknown` once
   * the call was sent), `peerRefused` (wrong key or no such method), `overloaded` (too many open calls), `bodyTooLarge`.
   */
  async call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateResponseHandler): Promise<Either<Failure, unknown>> {
    const peer = this.getOrCreatePeer(address)
    if (peer.openCalls >= this.limits.openCalls) {
      return Left(new Failure('overloaded', `${peer.openCalls} calls to ${address} are open, which is the limit`, { ran: 'no', retryAfterMs: this.limits.backoffMinMs }))
    }
    peer.openCalls += 1
    try {
      return await this.callOverLink(address, peer, { method, params, timeoutMs, onLate })
    } finally {
      peer.openCalls -= 1
    }
  }

  notify (address: string, method: string, params: unknown): void {
    this.getOrOpenLink(address, this.getOrCreatePeer(address)).ifRight(link => {
      if (link.wasOpen) link.notify(method, params)
      else link.ready.then(outcome => outcome.ifRight(() => link.notify(method, params)), () => {})
    })
  }

  /** Closes all links; open and later calls fail. */
  close (): void {
    this.isClosed = true
    for (const peer of this.peers.values()) peer.link?.close()
    this.peers.clear()
  }

  private async callOverLink (address: string, peer: PeerState, { method, params, timeoutMs, onLate }: OpenCall): Promise<Either<Failure, unknown>> {
    const link = this.getOrOpenLink(address, peer)
    if (link.isLeft()) return link
    const openedLink = link.extract() as PeerLink
    const startedAt = this.clock.now().mono
    if (openedLink.wasOpen) {
      const answer = await openedLink.request(method, params, timeoutMs, onLate)
      if (openedLink.isUnresponsive) peer.unansweredAt = startedAt
      return answer
    }
    const ready = await readyWithin(timeoutMs, openedLink.ready)
    if (ready.isLeft()) return ready
    const remainingMs = Math.max(1, timeoutMs - (this.clock.now().mono - startedAt))
    return await openedLink.request(method, params, remainingMs, onLate)
  }

  private getOrOpenLink (address: string, peer: PeerState): Either<Failure, PeerLink> {
    if (peer.link?.isUsable === true) return Either.of(peer.link)
    if (this.isClosed) return Left(new Failure('peerUnreachable', 'the client is closed', { ran: 'no' }))
    const waitMs = peer.nextAttemptAt - this.clock.now().mono
    if (waitMs > 0) {
      return Left(new Failure('peerUnreachable', `the last connection attempt to ${address} failed; no new attempt before the backoff ends`, { ran: 'no', retryAfterMs: Math.ceil(waitMs) }))
    }
    return Either.encase(() => this.openLink(address, peer)).mapLeft(err => new Failure('peerUnreachable', err.message, { ran: 'no' }))
  }

  private openLink (address: string, peer: PeerState): PeerLink {
    const link = new PeerLink(this.dial(address), this.context)
    peer.link = link
    link.ready.then(outcome => outcome.isLeft() ? this.recordFailure(peer) : this.recordSuccess(peer), () => {})
    return link
  }

  private recordSuccess (peer: PeerState): void {
    peer.failures = 0
    const { unansweredAt } = peer
    delete peer.unansweredAt
    if (unansweredAt !== undefined) this.retireUnresponsiveLinks(peer, unansweredAt)
  }

  /** Connections usually become unresponsive together, and each would cost its next call the full timeout. */
  private retireUnresponsiveLinks (respondingPeer: PeerState, unresponsiveSince: number): void {
    for (const peer of this.peers.values()) {
      const { link } = peer
      if (peer !== respondingPeer && link?.isUsable === true && link.wasOpen && !link.hasReceivedAfter(unresponsiveSince)) link.retire()
    }
    this.onUnresponsive(unresponsiveSince)
  }

  private recordFailure (peer: PeerState): void {
    const doublings = Math.min(peer.failures, MAX_BACKOFF_DOUBLINGS)
    const backoffMs = Math.min(this.limits.backoffMaxMs, this.limits.backoffMinMs * 2 ** doublings)
    peer.failures += 1
    peer.nextAttemptAt = this.clock.now().mono + backoffMs * (0.5 + this.random() / 2)
  }

  private getOrCreatePeer (address: string): PeerState {
    const existing = this.peers.get(address)
    const peer = existing ?? { link: undefined, openCalls: 0, failures: 0, nextAttemptAt: 0 }
    // Moves the address to the end, so that the first entry is the least recently used.
    this.peers.delete(address)
    this.peers.set(address, peer)
    if (this.peers.size > MAX_PEERS) this.evictLeastRecentlyUsed()
    return peer
  }

  private evictLeastRecentlyUsed (): void {
    const [address, peer] = this.peers.entries().next().value!
    peer.link?.close()
    this.peers.delete(address)
  }
}

async function readyWithin (timeoutMs: number, ready: Promise<Either<Failure, void>>): Promise<Either<Failure, void>> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<Either<Failure, void>>(resolve => {
    timer = setTimeout(() => resolve(Left(new Failure('peerUnreachable', `no connection within ${timeoutMs} ms`, { ran: 'no' }))), timeoutMs)
  })
  try {
    return await Promise.race([ready, timeout])
  } finally {
    clearTimeout(timer)
  }
}
