/**
 * Other holders where tokens move only by the table and by grants: they are never requested to transfer or to return
 * tokens.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { BudgetMember, BudgetPeers, ConfirmAnswer, GiveAnswer, RecallAnswer } from './budgetPeers.js'

export class PresentHolders implements BudgetPeers {
  readonly transfersNothing = true

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
