/**
 * What request handling asks of the rest of the VM.
 */
import type { Maybe } from 'purify-ts'
import type { VersionedConfig } from '@rosemaryspread/decisions/config/configSchema.js'

/** The configuration in force on this VM. */
export interface CurrentConfig {
  current (): Maybe<VersionedConfig>
}

/** Whether this VM drains, and how many pieces of work are open. */
export interface DrainState {
  readonly draining: boolean
  /** Counts one more open piece of work; call the answer when it ends. */
  open (): () => void
  openCount (): number
}

/** Randomness of the shell; seeded in tests. */
export interface RandomSource {
  /** A number in [0, 1). */
  next (): number
  /** A fresh id of 32 hex digits. */
  id (): string
}
