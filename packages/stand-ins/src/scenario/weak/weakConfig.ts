/**
 * Faulty configuration deciders: one applies the empty configuration before it has read the table,
 * one ignores new versions.
 */
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { ConfigHolder, type ConfigAction, type ConfigDecider, type ConfigEvent } from '@rosemaryspread/decisions/config/configDecider.js'
import { firstConfig } from '@rosemaryspread/decisions/config/configPatch.js'

/** Starts with version 0 whatever was in force before a restart. */
export class ForgetfulConfigHolder extends ConfigHolder implements ConfigDecider {
  private begun = false

  constructor () {
    super(firstConfig())
  }

  override decide (event: ConfigEvent, now: Instant): readonly ConfigAction[] {
    if (this.begun) return super.decide(event, now)
    this.begun = true
    const first = super.decide({ kind: 'accepted', source: 'snapshot', held: firstConfig() }, now)
    return [...first, ...super.decide(event, now)]
  }
}

/** Ignores versions from other VMs and the table once one is in force. */
export class StuckConfigHolder extends ConfigHolder implements ConfigDecider {
  constructor () {
    super(firstConfig())
  }

  override decide (event: ConfigEvent, now: Instant): readonly ConfigAction[] {
    const isStuck = (this.inForce?.version ?? 0) > 0 && event.kind !== 'accepted'
    return isStuck ? [] : super.decide(event, now)
  }
}
