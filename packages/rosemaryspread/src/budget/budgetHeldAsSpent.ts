/**
 * Recovery where targets keep no record of runs: what an ended holder had not billed may all have
 * been spent, so it is billed whole. That never overspends; the price are tokens that were paid
 * for and not used, at most one allotment for each holder that did not end gracefully.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { OwedBill } from '@rosemaryspread/decisions/budget/recoveryPlan.js'
import type { UnbilledRuns } from './budgetRecovery.js'
import type { RunOwner } from './budgetRecoveryRuns.js'
import type { AgedAllotment } from './budgetSharing.js'

/** Counts everything that ended holders held as spent. */
export class HeldAsSpent implements UnbilledRuns {
  beginPass (): void {}

  async contactAgeMs (item: AgedAllotment): Promise<number> {
    return item.ageMs
  }

  async unbilled (budget: string, owners: readonly RunOwner[]): Promise<Either<Failure, readonly OwedBill[]>> {
    return Right(owners.filter(({ held }) => held > 0).map(({ holder, held }) => ({
      holder,
      bill: { requestId: `unbilled/${holder}`, budget, team: budget, tokens: held, runner: '' }
    })))
  }
}
