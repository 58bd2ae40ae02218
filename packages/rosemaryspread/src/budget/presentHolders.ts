/**
 * The other holders where budgets move by the table and by gifts alone: they are neither asked for
 * transfers nor to return tokens.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { BudgetMember, BudgetPeers, ConfirmAnswer, GiveAnswer, RecallAnswer } from './budgetPeers.js'

/** Holders that are present. */
export class PresentHolders implements BudgetPeers {
  readonly transfersNothing = true

  /** @param members - the other VMs that hold budgets */
  constructor (readonly members: () => readonly BudgetMember[]) {}

  async give (): Promise<Either<Failure, GiveAnswer>> {
    return Right({})
  }

  async recall (): Promise<Either<Failure, RecallAnswer>> {
    return Right({ returned: 0 })
  }

  async confirmNoTransfers (): Promise<Either<Failure, ConfirmAnswer>> {
    return Right({ none: true })
  }
}
