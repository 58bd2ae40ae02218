/**
 * Notifies other VMs of large requests that this VM sent to a target, so that they do not queue theirs
 * behind them. Messages are rate limited: a VM of a large fleet notifies of fewer requests.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { workNotificationSchema, type WorkNotification } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import { MAX_NOTIFIED_PEERS } from '../presence/fleetLinks.js'
import type { PeerVm } from '../presence/vmPresence.js'

/** Method name on the links between VMs. */
export const WORK_METHOD = 'targets.work'
/** Messages per second of one VM. A fleet of seven needs about forty; a higher limit costs large fleets much processor time. */
const MAX_MESSAGES_PER_S = 60
const MS_PER_SECOND = 1_000

export interface WorkNotificationsParts {
  readonly clock: Clock
  peers (): readonly PeerVm[]
  notify (address: string, method: string, params: unknown): void
}

export class WorkNotifications {
  /** Messages that may be sent now (token bucket). */
  private allowance = MAX_MESSAGES_PER_S
  private lastRefillAt = 0

  constructor (private readonly parts: WorkNotificationsParts) {}

  /** Notifies all other VMs of a request, or none if they are too many or the rate limit is reached. */
  notifyPeers (notification: WorkNotification): void {
    const peers = this.parts.peers()
    this.refill()
    if (peers.length > MAX_NOTIFIED_PEERS || peers.length > this.allowance) return
    this.allowance -= peers.length
    for (const { address } of peers) this.parts.notify(address, WORK_METHOD, notification)
  }

  private refill (): void {
    const { mono } = this.parts.clock.now()
    this.allowance = Math.min(MAX_MESSAGES_PER_S, this.allowance + (mono - this.lastRefillAt) * MAX_MESSAGES_PER_S / MS_PER_SECOND)
    this.lastRefillAt = mono
  }
}

/** Link method that receives notifications of other VMs. */
export function workMethod (onNotification: (notification: WorkNotification) => void): PeerMethodHandler {
  return async params => { onNotification(workNotificationSchema.parse(params)) }
}
