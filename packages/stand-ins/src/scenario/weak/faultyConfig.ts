/**
 * Faulty configuration deciders: one applies the empty configuration before it has read the table,
 * one ignores new versions.
 */
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { MonotonicConfigDecider, type ConfigAction, type ConfigDecider, type ConfigEvent } from '@rosemaryspread/decisions/config/configDecider.js'
import { initialConfig } from '@rosemaryspread/decisions/config/configPatch.js'

/** Starts with version 0 whatever was in force before a restart. */
export class ForgetfulConfigDecider extends MonotonicConfigDecider implements ConfigDecider {
  private hasStarted = false

  constructor () {
    super(initialConfig())
  }

  override decide (event: ConfigEvent, now: Instant): readonly ConfigAction[] {
    if (this.hasStarted) return super.decide(event, now)
    this.hasStarted = true
    const first = super.decide({ kind: 'accepted', source: 'snapshot', held: initialConfig() }, now)
    return [...first, ...super.decide(event, now)]
  }
}

/** Ignores versions from other VMs and the table once one is in force. */
export class StuckConfigDecider extends MonotonicConfigDecider implements ConfigDecider {
  constructor () {
    super(initialConfig())
  }

  override decide (event: ConfigEvent, now: Instant): readonly ConfigAction[] {
    const isStuck = (this.inForce?.version ?? 0) > 0 && event.kind !== 'accepted'
    return isStuck ? [] : super.decide(event, now)
  }
}
