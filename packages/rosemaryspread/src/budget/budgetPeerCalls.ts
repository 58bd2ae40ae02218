/**
 * Binds the budget requests between holders to the peer links, in both directions.
 */
import { Left, type Either } from 'purify-ts'
import type { z } from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { MemberView } from '@rosemaryspread/decisions/membership/memberTypes.js'
import type { PeerClient, PeerServer } from '@rosemaryspread/peers/link/linkTypes.js'
import type { BudgetDriver } from './budgetDriver.js'
import { confirmResponseSchema, confirmRequestSchema, transferResponseSchema, transferRequestSchema, recallResponseSchema, recallRequestSchema, type BudgetMember, type BudgetPeers, type ConfirmResponse, type ConfirmRequest, type TransferResponse, type TransferRequest, type RecallResponse, type RecallRequest } from './budgetPeers.js'
import { parseAnswer } from './peerAnswer.js'

/** Names of the peer methods. */
const methods = { give: 'budget.give', recall: 'budget.recall', confirm: 'budget.confirm' } as const
/** Timeout of a call that needs no table access. */
const CALL_TIMEOUT_MS = 1_000
/** Timeout of a recall, which waits for a table write of the other VM. */
const RECALL_TIMEOUT_MS = 3_000

export interface BudgetPeerCallsParts {
  readonly client: PeerClient
  readonly holder: string
  readonly members: () => readonly MemberView[]
}

/** Sends budget requests to other VMs. */
export class BudgetPeerCalls implements BudgetPeers {
  constructor (private readonly parts: BudgetPeerCallsParts) {}

  members (): readonly BudgetMember[] {
    return this.remoteMembers().map(({ holder, domain }) => ({ holder, domain }))
  }

  async requestTransfer (holder: string, request: TransferRequest): Promise<Either<Failure, TransferResponse>> {
    return await this.call(holder, methods.give, request, transferResponseSchema, CALL_TIMEOUT_MS)
  }

  async recall (holder: string, request: RecallRequest): Promise<Either<Failure, RecallResponse>> {
    return await this.call(holder, methods.recall, request, recallResponseSchema, RECALL_TIMEOUT_MS)
  }

  async confirmNoTransfers (holder: string, request: ConfirmRequest): Promise<Either<Failure, ConfirmResponse>> {
    return await this.call(holder, methods.confirm, request, confirmResponseSchema, CALL_TIMEOUT_MS)
  }

  private remoteMembers (): MemberView[] {
    return this.parts.members().filter(({ holder, state }) => holder !== this.parts.holder && state !== 'gone')
  }

  private async call<T> (holder: string, method: string, request: unknown, schema: z.ZodType<T>, timeoutMs: number): Promise<Either<Failure, T>> {
    const member = this.remoteMembers().find(other => other.holder === holder)
    if (member === undefined) return Left(new Failure('peerUnreachable', `no current member has the holder id ${holder}`, { ran: 'no' }))
    const answer = await this.parts.client.call(member.peers, method, request, timeoutMs)
    return answer.chain(value => parseAnswer(schema, value, method))
  }
}

/** Registers the handlers of budget requests from other VMs. */
export function serveBudgetPeers (server: PeerServer, driver: BudgetDriver): void {
  server.register(methods.give, async params => driver.onTransferRequest(transferRequestSchema.parse(params)))
  server.register(methods.recall, async params => await driver.onRecall(recallRequestSchema.parse(params)))
  server.register(methods.confirm, async params => driver.onConfirmRequest(confirmRequestSchema.parse(params)))
}
