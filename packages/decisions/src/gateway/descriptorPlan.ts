/**
 * Divides the descriptors of a process among its servers and clients. A process without free descriptors reaches no target and no store, and accepts
 * no connection, while it goes on reporting itself ready; so the shares together stay below what the platform grants.
 */

/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200
/** Share of all descriptors for connections of callers. */
const CALLERS_SHARE = 0.5
/** Shares of what callers and files leave. The rest of it is for the store, for links to other VMs and for listening. */
const TARGETS_SHARE = 0.45
const PEERS_SHARE = 0.2
const DIRECTORY_SHARE = 0.1
const READY_SHARE = 0.04
const METRICS_SHARE = 0.04
const MIN_CONNECTIONS = 4

/** Connections that each part of a process may have open. */
export interface DescriptorPlan {
  readonly callers: number
  /** Connections to targets, idle ones included. */
  readonly targets: number
  /** Links that other VMs open. */
  readonly peers: number
  readonly directory: number
  readonly ready: number
  readonly metrics: number
}

/** @param descriptors - descriptors that the process may open; absent for no limit */
export function planDescriptors (descriptors = Infinity): DescriptorPlan {
  const callers = Math.floor(descriptors * CALLERS_SHARE)
  const left = descriptors === Infinity ? Infinity : descriptors - FILE_DESCRIPTORS - callers
  const shareOf = (share: number): number => Math.max(MIN_CONNECTIONS, Math.floor(left * share))
  return {
    callers,
    targets: shareOf(TARGETS_SHARE),
    peers: shareOf(PEERS_SHARE),
    directory: shareOf(DIRECTORY_SHARE),
    ready: shareOf(READY_SHARE),
    metrics: shareOf(METRICS_SHARE)
  }
}
