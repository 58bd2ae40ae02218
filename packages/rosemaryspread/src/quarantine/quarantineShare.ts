/**
 * Carries news of requests under suspicion between VMs: rows of a table, whose feed reaches every VM, also one that begins later,
 * and in small fleets messages over the links as well, which also go while the table is out of reach. Nothing is written
 * or told but after the end of a target.
 */
import {
  MOST_DIGESTS, processOf, quarantineNewsSchema, type Clearance, type QuarantineNews, type TargetEnd, type Verdict
} from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import type { PeerMethod } from '@rosemaryspread/peers/link/linkTypes.js'
import { MOST_TOLD } from '../presence/fleetLinks.js'
import type { PeerVm } from '../presence/vmPresence.js'
import { QuarantineRows, type QuarantineRowsParts } from './quarantineRows.js'

/** Method between VMs. */
export const QUARANTINE_METHOD = 'quarantine.news'
/** Milliseconds for which calls on one ended target are gathered into one row; most of them break within five, all within twenty. */
const GATHER_MS = 10
/** Milliseconds for which calls on an ended target are added to its row: the last of them break when their VM reads the close. */
const REPORT_OPEN_MS = 5_000

/** What sharing works with. */
export interface QuarantineShareParts extends QuarantineRowsParts {
  /** Name of this VM; lasts over restarts. */
  readonly vm: string
  peers (): readonly PeerVm[]
  notify (address: string, method: string, params: unknown): void
}

/** What this VM saw of the end of one target. */
interface OpenReport {
  readonly end: TargetEnd
  readonly digests: Set<string>
  readonly since: number
  isTold: boolean
}

/** Shares the news of one VM. Times are monotonic milliseconds. */
export class QuarantineShare {
  private readonly rows: QuarantineRows
  private readonly reports = new Map<string, OpenReport>()
  private gathering: NodeJS.Timeout | undefined

  constructor (private readonly parts: QuarantineShareParts) {
    this.rows = new QuarantineRows(parts)
  }

  /** Whether what other VMs told before was read. */
  get isLoaded (): boolean {
    return this.rows.isLoaded
  }

  /** Begins to hear other VMs. */
  start (): void {
    this.rows.start()
  }

  /** Stops hearing and telling. */
  stop (): void {
    this.rows.stop()
    clearTimeout(this.gathering)
  }

  /** Serves what other VMs tell over their links. */
  method (): PeerMethod {
    return async params => { this.parts.onNews(quarantineNewsSchema.parse(params)) }
  }

  /**
   * Tells of the end of a target under a request.
   * @param end - the end
   * @param digest - digest of the request
   */
  ended (end: TargetEnd, digest: string): void {
    const name = processOf(end)
    const open = this.reports.get(name) ?? { end, digests: new Set<string>(), since: this.mono, isTold: true }
    open.digests.add(digest)
    open.isTold = false
    this.reports.set(name, open)
    this.gathering ??= setTimeout(() => { this.gathered() }, GATHER_MS)
  }

  /**
   * Tells that a request is quarantined.
   * @param verdict - the verdict
   */
  quarantined (verdict: Verdict): void {
    this.tell(rowOfVerdict(verdict.digest), verdict)
  }

  /**
   * Tells that ends do not count for a request.
   * @param clearance - the clearance
   */
  cleared (clearance: Clearance): void {
    this.tell(`cleared/${clearance.digest}/${this.parts.vm}`, clearance)
    this.rows.put(rowOfVerdict(clearance.digest), null)
  }

  /** Writes what could not be written yet; to be called several times a second. */
  tick (): void {
    this.rows.tick()
  }

  private gathered (): void {
    this.gathering = undefined
    for (const [name, open] of this.reports) {
      if (!open.isTold) this.tell(`ended/${name}/${this.parts.vm}`, { kind: 'ended', ends: [open.end], digests: [...open.digests].slice(0, MOST_DIGESTS) })
      open.isTold = true
      if (this.mono - open.since > REPORT_OPEN_MS) this.reports.delete(name)
    }
  }

  private tell (key: string, news: QuarantineNews): void {
    const peers = this.parts.peers()
    if (peers.length <= MOST_TOLD) for (const { address } of peers) this.parts.notify(address, QUARANTINE_METHOD, news)
    this.rows.put(key, news)
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

function rowOfVerdict (digest: string): string {
  return `quarantined/${digest}`
}
