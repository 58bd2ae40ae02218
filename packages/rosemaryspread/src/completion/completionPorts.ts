/**
 * Interfaces through which request handling uses the rest of the VM.
 */
import type { Maybe } from 'purify-ts'
import type { VersionedConfig } from '@rosemaryspread/decisions/config/configSchema.js'

/** The active configuration of this VM. */
export interface CurrentConfig {
  current (): Maybe<VersionedConfig>
}

/** Whether this VM is draining, and how many work items are open. */
export interface DrainState {
  readonly draining: boolean
  /** Counts one more open work item; the returned function closes it. */
  open (): () => void
  openCount (): number
}

/** Source of randomness; seeded in tests. */
export interface RandomSource {
  /** A number in [0, 1). */
  next (): number
  /** A new id of 32 hex digits. */
  id (): string
}
