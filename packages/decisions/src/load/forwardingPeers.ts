/**
 * Chooses the VM that gets a forwarded connection. A VM forwards to the first few others of its own rendezvous order, so that the
 * tokens of the teams whose callers keep to it gather at the same few VMs. The list grows at once with the open forwarded
 * connections and shrinks slowly; of two random VMs of the list the one with fewer of them is chosen.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** Shortest list. */
const MIN_PEERS = 2
/** Open forwarded connections for each VM on the list from which it grows. */
const OPEN_PER_PEER = 10
/** Interval at which the list shrinks by one VM. */
const SHRINK_INTERVAL_MS = 5_000
/** Time for which a VM that did not take a connection is left out; doubles with each further one up to the maximum. */
const MIN_LEFT_OUT_MS = 300
const MAX_LEFT_OUT_MS = 5_000

interface LeftOut {
  readonly until: number
  readonly forMs: number
}

/** Another VM that accepts forwarded connections. */
export interface ForwardingPeer {
  readonly vm: string
  /** IPv4:port for forwarded connections. */
  readonly address: string
}

export class ForwardingPeers {
  private list: readonly ForwardingPeer[] = []
  private size = MIN_PEERS
  private resizedAt = 0
  /** Open forwarded connections by VM. */
  private readonly open = new Map<string, number>()
  /** VMs that did not take their latest connection. */
  private readonly leftOut = new Map<string, LeftOut>()
  private readonly selfHash: number

  /** @param self - name of this VM */
  constructor (self: string) {
    this.selfHash = hashName(self)
  }

  /** The VMs that get connections now, first those that get them at the least load. */
  get chosen (): readonly ForwardingPeer[] {
    return this.list
  }

  /** Open forwarded connections. */
  get openCount (): number {
    return [...this.open.values()].reduce((sum, count) => sum + count, 0)
  }

  /**
   * Updates the list.
   * @param candidates - VMs that serve, are not overloaded and accept forwarded connections
   * @param mono - monotonic milliseconds
   */
  update (candidates: readonly ForwardingPeer[], mono: number): void {
    this.resize(Math.max(MIN_PEERS, Math.ceil(this.openCount / OPEN_PER_PEER)), mono)
    this.list = candidates
      .filter(({ vm }) => mono >= (this.leftOut.get(vm)?.until ?? -Infinity))
      .map(peer => ({ peer, weight: pairWeight(this.selfHash, hashName(peer.vm)) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, this.size)
      .map(({ peer }) => peer)
  }

  /**
   * Chooses the VM for one connection; undefined if no VM has capacity.
   * @param random - returns a number from 0 up to, but not including, 1
   */
  choose (random: () => number): ForwardingPeer | undefined {
    const { length } = this.list
    if (length < 2) return this.list[0]
    const first = Math.floor(random() * length)
    const second = (first + 1 + Math.floor(random() * (length - 1))) % length
    const [a, b] = [this.list[first], this.list[second]]
    if (a === undefined || b === undefined) return a ?? b
    return this.openAt(b.vm) < this.openAt(a.vm) ? b : a
  }

  /** Counts a forwarded connection. */
  opened (vm: string): void {
    this.open.set(vm, this.openAt(vm) + 1)
  }

  /** Counts the end of a forwarded connection. */
  closed (vm: string): void {
    const left = this.openAt(vm) - 1
    if (left > 0) this.open.set(vm, left)
    else this.open.delete(vm)
  }

  /** A VM took a connection. */
  accepted (vm: string): void {
    this.leftOut.delete(vm)
  }

  /** Leaves out a VM that did not take a connection, for a time. */
  failed (vm: string, mono: number): void {
    const before = this.leftOut.get(vm)
    // Connections that were on the way together fail together.
    if (before !== undefined && mono < before.until) return
    const forMs = Math.min(MAX_LEFT_OUT_MS, before === undefined ? MIN_LEFT_OUT_MS : before.forMs * 2)
    this.leftOut.set(vm, { until: mono + forMs, forMs })
    this.list = this.list.filter(peer => peer.vm !== vm)
  }

  private openAt (vm: string): number {
    return this.open.get(vm) ?? 0
  }

  private resize (wanted: number, mono: number): void {
    if (wanted < this.size && mono - this.resizedAt < SHRINK_INTERVAL_MS) return
    this.size = Math.max(wanted, this.size - 1)
    this.resizedAt = mono
  }
}
