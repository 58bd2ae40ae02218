/**
 * Forwards new connections of callers to other VMs while this VM is overloaded. A forwarded connection is an ordinary connection to
 * another address of the other VM; what arrives there is never forwarded again.
 */
import type { Socket } from 'node:net'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { ForwardingPeers, type ForwardingPeer } from '@rosemaryspread/decisions/load/forwardingPeers.js'
import { ForwardingShare } from '@rosemaryspread/decisions/load/forwardingShare.js'
import type { VmLoad } from '@rosemaryspread/decisions/load/loadTypes.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import { connectWithin, joinSockets } from './joinedSockets.js'

export interface ForwarderParts {
  /** Name of this VM. */
  readonly vm: string
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  /** Load of this VM. */
  readonly load: Pick<VmLoad, 'busyRatio'>
  /** Open work, for which a stopping VM waits. */
  readonly work: { open (): () => void }
  /** Returns a number from 0 up to, but not including, 1. */
  random (): number
  /** The VMs to which connections may be forwarded. */
  peers (): readonly ForwardingPeer[]
}

export class ConnectionForwarder {
  private readonly decision = new ForwardingShare()
  private readonly peers: ForwardingPeers
  /** Callers whose connections are forwarded. */
  private readonly callers = new Set<Socket>()
  /** Connections to forward, by the shares so far, that were not forwarded. */
  private due = 0

  constructor (private readonly parts: ForwarderParts) {
    this.peers = new ForwardingPeers(parts.vm)
    parts.metrics.gauge('forwarding_share', () => this.decision.share)
    parts.metrics.gauge('forwarded_connections_open', () => this.callers.size)
  }

  /** Updates share and VMs; to be called several times a second, after the load was measured. */
  tick (): void {
    const { clock, load, log } = this.parts
    const { mono } = clock.now()
    const shareBefore = this.decision.share
    this.decision.update(load, mono)
    const { share } = this.decision
    if (share > 0) this.peers.update(this.parts.peers(), mono)
    if ((share > 0) === (shareBefore > 0)) return
    const fields = { busyRatio: round(load.busyRatio), peers: this.peers.chosen.map(({ vm }) => vm), open: this.callers.size }
    if (share > 0) log.write('forwardingStarted', { share: round(share), ...fields })
    else log.write('forwardingEnded', fields)
  }

  /** Chooses the VM to which a new connection is forwarded; undefined if it is served here. */
  choose (): ForwardingPeer | undefined {
    const { share } = this.decision
    this.due = share === 0 ? 0 : Math.min(1, this.due) + share
    if (this.due < 1) return undefined
    const peer = this.peers.choose(() => this.parts.random())
    if (peer !== undefined) this.due -= 1
    return peer
  }

  /**
   * Forwards a connection; resolves to whether the other VM accepted it. If not, nothing was read from the caller.
   * @param caller - a paused connection
   */
  async forward (caller: Socket, peer: ForwardingPeer): Promise<boolean> {
    const onEnded = this.begin(caller, peer)
    const socket = await connectWithin(peer.address)
    if (socket === undefined) {
      onEnded()
      this.leaveOut(peer)
      this.parts.metrics.count('connections_forward_failed')
      this.parts.log.write('peerFault', { peer: peer.vm, method: 'forward', code: 'notConnected' })
      return false
    }
    this.parts.metrics.count('connections_forwarded')
    socket.once('data', () => { this.peers.accepted(peer.vm) })
    if (caller.destroyed) {
      socket.destroy()
      onEnded()
      return true
    }
    caller.once('close', onEnded)
    for (const event of ['end', 'close']) socket.once(event, () => { if (isUnanswered(socket, caller)) this.leaveOut(peer) })
    joinSockets(caller, socket)
    return true
  }

  /** Closes the forwarded connections on which their callers have sent nothing. */
  closeUnused (): void {
    for (const caller of this.callers) if (caller.bytesRead === 0) caller.destroySoon()
  }

  /** Closes all forwarded connections, whether their requests are answered or not. */
  abort (): void {
    for (const caller of this.callers) caller.resetAndDestroy()
  }

  /** Counts a connection as open until the returned function is called. */
  private begin (caller: Socket, { vm }: ForwardingPeer): () => void {
    const onDone = this.parts.work.open()
    this.peers.opened(vm)
    this.callers.add(caller)
    return () => {
      this.callers.delete(caller)
      this.peers.closed(vm)
      onDone()
    }
  }

  private leaveOut ({ vm }: ForwardingPeer): void {
    this.peers.failed(vm, this.parts.clock.now().mono)
  }
}

/** Whether the other VM closed a connection on which it had received something, without any answer, while the caller waited. */
function isUnanswered (socket: Socket, caller: Socket): boolean {
  return socket.bytesRead === 0 && socket.bytesWritten > 0 && !caller.readableEnded && !caller.destroyed
}

function round (ratio: number): number {
  return Math.round(ratio * 100) / 100
}
