/**
 * Tells the other VMs of large requests that this one sent to a target, so that they do not queue
 * theirs behind them. The telling is bounded: a VM of a large fleet tells of fewer.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { workNotificationSchema, type WorkNotification } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { PeerMethod } from '@rosemaryspread/peers/link/linkTypes.js'
import { MAX_NOTIFIED_PEERS } from '../presence/fleetLinks.js'
import type { PeerVm } from '../presence/vmPresence.js'

/** Method between VMs. */
export const WORK_METHOD = 'targets.work'
/**
 * Messages that one VM sends in a second at most. A fleet of seven needs some forty; with 400 the processes of
 * a fleet of 80 took twice the processor time.
 */
const MOST_PER_S = 60
const MS_PER_SECOND = 1_000

/** What telling works with. */
export interface WorkNoticesParts {
  readonly clock: Clock
  peers (): readonly PeerVm[]
  notify (address: string, method: string, params: unknown): void
}

/** Tells other VMs. */
export class WorkNotices {
  /** Messages that may be sent now. */
  private allowance = MOST_PER_S
  private allowedAt = 0

  constructor (private readonly parts: WorkNoticesParts) {}

  /**
   * Tells all other VMs of a request, or none where they or the messages are too many.
   * @param notice - the request
   */
  tell (notice: WorkNotification): void {
    const peers = this.parts.peers()
    this.refill()
    if (peers.length > MAX_NOTIFIED_PEERS || peers.length > this.allowance) return
    this.allowance -= peers.length
    for (const { address } of peers) this.parts.notify(address, WORK_METHOD, notice)
  }

  private refill (): void {
    const { mono } = this.parts.clock.now()
    this.allowance = Math.min(MOST_PER_S, this.allowance + (mono - this.allowedAt) * MOST_PER_S / MS_PER_SECOND)
    this.allowedAt = mono
  }
}

/**
 * Serves what other VMs tell.
 * @param told - takes a notice
 */
export function workMethod (told: (notice: WorkNotification) => void): PeerMethod {
  return async params => { told(workNotificationSchema.parse(params)) }
}
