/**
 * Limit on open connections of callers. A process without free file descriptors closes new connections at
 * once without an error, while open ones keep working: the VM would report itself ready and accept nobody.
 */
import { planDescriptors } from '@rosemaryspread/decisions/gateway/descriptorPlan.js'

/** Share of the limit above which idle connections are closed in favor of new ones. */
const NEAR_LIMIT_RATIO = 0.9

export class ConnectionLimit {
  /** Open connections allowed; further ones are closed at once. */
  readonly maxOpen: number

  /** @param descriptors - descriptors that the process may open; absent for no limit */
  constructor (descriptors?: number) {
    this.maxOpen = planDescriptors(descriptors).callers
  }

  /**
   * Whether idle connections should be closed to make room for new ones.
   * @param open - number of open connections
   */
  isNearLimit (open: number): boolean {
    return open >= this.maxOpen * NEAR_LIMIT_RATIO
  }
}
