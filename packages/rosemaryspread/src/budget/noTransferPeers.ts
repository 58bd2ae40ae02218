/**
 * Other holders where tokens move only by the table and by grants: they are never requested to transfer or to return
 * tokens.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { BudgetMember, BudgetPeers, ConfirmResponse, TransferResponse, RecallResponse } from './budgetPeers.js'

export class NoTransferPeers implements BudgetPeers {
  readonly hasNoTransfers = true

  constructor (readonly members: () => readonly BudgetMember[]) {}

  async requestTransfer (): Promise<Either<Failure, TransferResponse>> {
    return Right({})
  }

  async recall (): Promise<Either<Failure, RecallResponse>> {
    return Right({ returned: 0 })
  }

  async confirmNoTransfers (): Promise<Either<Failure, ConfirmResponse>> {
    return Right({ none: true })
  }
}
