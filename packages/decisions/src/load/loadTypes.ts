/**
 * Load of one VM, as decisions on admission and forwarding read it.
 */

export interface VmLoad {
  /** Share of the latest measurement window, some hundred milliseconds long, for which the event loop was busy; from 0 to 1. */
  readonly busyRatio: number
  /** Whether the VM counts as overloaded; clears only after some time without overload. */
  readonly isPressed: boolean
}
