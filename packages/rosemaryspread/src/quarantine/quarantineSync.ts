/**
 * Propagates updates on requests under suspicion between VMs: by table rows, whose feed reaches every VM, also one that
 * starts later, and in small fleets also by peer messages, which work while the table is unavailable. Nothing is written
 * or sent before a target has terminated.
 */
import {
  MAX_DIGESTS, MAX_PARTS, processKey, quarantineUpdateSchema, type Clearance, type EndReport, type QuarantineUpdate, type TargetEnd, type Verdict
} from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import type { PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import { MAX_NOTIFIED_PEERS } from '../presence/fleetLinks.js'
import type { PeerVm } from '../presence/vmPresence.js'
import { QuarantineRows, type QuarantineRowsParts } from './quarantineRows.js'

/** Name of the peer method. */
export const QUARANTINE_METHOD = 'quarantine.news'
/**
 * Milliseconds in which calls on one terminated target are batched into one row; most of them break within five, all
 * within twenty.
 */
const BATCH_WINDOW_MS = 10
/**
 * Milliseconds for which calls on a terminated target are added to its row: the last of them break when their VM reads
 * the close of the connection.
 */
const REPORT_RETENTION_MS = 5_000

export interface QuarantineSyncParts extends QuarantineRowsParts {
  /** Name of this VM, stable over restarts. */
  readonly vm: string
  peers (): readonly PeerVm[]
  notify (address: string, method: string, params: unknown): void
}

/** Requests that this VM had open on one terminated target. */
interface OpenReport {
  readonly end: TargetEnd
  readonly digests: Set<string>
  /** Digests of the requests by the digest of a part of their prompts. */
  readonly parts: Map<string, Set<string>>
  readonly since: number
  isPublished: boolean
}

/** Publishes the updates of one VM and receives those of others. Times are monotonic milliseconds. */
export class QuarantineSync {
  private readonly rows: QuarantineRows
  private readonly reports = new Map<string, OpenReport>()
  private batchTimer: NodeJS.Timeout | undefined

  constructor (private readonly parts: QuarantineSyncParts) {
    this.rows = new QuarantineRows(parts)
  }

  /** Whether the stored updates of other VMs have been read. */
  get isLoaded (): boolean {
    return this.rows.isLoaded
  }

  /** Starts to receive updates of other VMs. */
  start (): void {
    this.rows.start()
  }

  /** Stops receiving and publishing. */
  stop (): void {
    this.rows.stop()
    clearTimeout(this.batchTimer)
  }

  /** Peer method that receives updates of other VMs. */
  method (): PeerMethodHandler {
    return async params => { this.parts.onUpdate(quarantineUpdateSchema.parse(params)) }
  }

  /**
   * Publishes the termination of a target on which a request was open.
   * @param digest - digest of the request
   * @param partDigests - digests of the parts of its prompt that other requests may have too
   */
  ended (end: TargetEnd, digest: string, partDigests: readonly string[] = []): void {
    const name = processKey(end)
    const open = this.reports.get(name) ?? { end, digests: new Set<string>(), parts: new Map<string, Set<string>>(), since: this.mono, isPublished: true }
    open.digests.add(digest)
    for (const part of partDigests) open.parts.set(part, (open.parts.get(part) ?? new Set()).add(digest))
    open.isPublished = false
    this.reports.set(name, open)
    this.batchTimer ??= setTimeout(() => { this.publishBatch() }, BATCH_WINDOW_MS)
  }

  /** Publishes that a request is quarantined. */
  quarantined (verdict: Verdict): void {
    this.publish(verdictKey(verdict.digest), verdict)
  }

  /** Publishes that terminations don't count for a request. */
  cleared (clearance: Clearance): void {
    this.publish(`cleared/${clearance.digest}/${this.parts.vm}`, clearance)
    this.rows.put(verdictKey(clearance.digest), null)
  }

  /** Writes queued rows; to be called several times a second. */
  tick (): void {
    this.rows.tick()
  }

  private publishBatch (): void {
    this.batchTimer = undefined
    for (const [name, open] of this.reports) {
      if (!open.isPublished) this.publish(`ended/${name}/${this.parts.vm}`, toReport(open))
      open.isPublished = true
      if (this.mono - open.since > REPORT_RETENTION_MS) this.reports.delete(name)
    }
  }

  private publish (key: string, update: QuarantineUpdate): void {
    const peers = this.parts.peers()
    if (peers.length <= MAX_NOTIFIED_PEERS) for (const { address } of peers) this.parts.notify(address, QUARANTINE_METHOD, update)
    this.rows.put(key, update)
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

function toReport ({ end, digests: all, parts: allParts }: OpenReport): EndReport {
  const digests = [...all].slice(0, MAX_DIGESTS)
  const indices = new Map(digests.map((digest, index) => [digest, index]))
  const parts = [...allParts].slice(0, MAX_PARTS).map(([part, requests]): [string, number[]] => [part, [...requests].flatMap(digest => indices.get(digest) ?? [])])
  return { kind: 'ended', ends: [end], digests, ...(parts.length === 0 ? {} : { parts }) }
}

function verdictKey (digest: string): string {
  return `quarantined/${digest}`
}
