/**
 * Recovery where targets keep no record of runs: an ended holder may have spent what its last
 * report allowed up to its end, so that much is billed and the rest goes back. That never overspends;
 * the price are tokens that were paid for and not used.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { mayBeSpent } from '@rosemaryspread/decisions/budget/reportBound.js'
import type { OwedBill } from '@rosemaryspread/decisions/budget/recoveryPlan.js'
import type { UnbilledRuns } from './budgetRecovery.js'
import type { RunOwner } from './budgetRecoveryRuns.js'
import type { AgedAllotment } from './budgetSharing.js'

/** Counts as spent what ended holders may have spent. */
export class HeldAsSpent implements UnbilledRuns {
  beginPass (): void {}

  async contactAgeMs (item: AgedAllotment): Promise<number> {
    return item.ageMs
  }

  async unbilled (budget: string, owners: readonly RunOwner[], tableNow: number): Promise<Either<Failure, readonly OwedBill[]>> {
    return Right(owners.flatMap(({ holder, allotment, endedBy }) => {
      const tokens = allotment === undefined ? 0 : mayBeSpent(allotment, endedBy ?? tableNow)
      return tokens === 0 ? [] : [{ holder, bill: { requestId: `unbilled/${holder}`, budget, team: budget, tokens, runner: '' } }]
    }))
  }
}
