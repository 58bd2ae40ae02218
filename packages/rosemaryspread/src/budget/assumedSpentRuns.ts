/**
 * Recovery where targets keep no record of runs: a terminated holder may have spent all that its last report allowed up
 * to its termination, so that much is billed and the rest is returned. This never overspends, at the price of paid tokens
 * that are billed unused.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { maxUnreportedSpend } from '@rosemaryspread/decisions/budget/reportBound.js'
import type { OwedBill } from '@rosemaryspread/decisions/budget/recoveryPlan.js'
import type { UnbilledRuns } from './budgetRecovery.js'
import type { RunOwner } from './budgetRecoveryRuns.js'
import type { AgedAllotment } from './budgetSurvey.js'

export class AssumedSpentRuns implements UnbilledRuns {
  beginPass (): void {}

  async contactAgeMs (item: AgedAllotment): Promise<number> {
    return item.ageMs
  }

  async unbilled (budget: string, owners: readonly RunOwner[], tableNow: number): Promise<Either<Failure, readonly OwedBill[]>> {
    return Right(owners.flatMap(({ holder, allotment, endedBy }) => {
      const tokens = allotment === undefined ? 0 : maxUnreportedSpend(allotment, endedBy ?? tableNow)
      return tokens === 0 ? [] : [{ holder, bill: { requestId: `unbilled/${holder}`, budget, team: budget, tokens, runner: '' } }]
    }))
  }
}
