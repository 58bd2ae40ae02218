/**
 * Registry of the capacity probes.
 */
import { configTrafficProbe, objectProbe, teamProbe } from './configProbe.js'
import { hotBudgetProbe } from './hotBudgetProbe.js'
import { budgetTableProbe, ledgerProbe } from './ledgerProbe.js'
import { gossipProbe, memberProbe } from './memberProbe.js'
import type { CapacityProbe } from './probeTypes.js'
import { recoveryProbe } from './recoveryProbe.js'
import { routerProbe } from './routerProbe.js'
import { idleVmProbe, loadedVmProbe, pollProbe, streamsProbe } from './vmProbe.js'
import { flushProbe, linkProbe } from './wireProbe.js'

/** All probes in the order of the printed rows. */
export const capacityProbes: readonly CapacityProbe[] = [
  ledgerProbe,
  teamProbe,
  routerProbe,
  memberProbe,
  gossipProbe,
  linkProbe,
  configTrafficProbe,
  flushProbe,
  idleVmProbe,
  loadedVmProbe,
  streamsProbe,
  pollProbe,
  budgetTableProbe,
  hotBudgetProbe,
  recoveryProbe,
  objectProbe
]
