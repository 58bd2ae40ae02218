/**
 * Binds the budget requests between holders to the peer links, in both directions.
 */
import { Left, type Either } from 'purify-ts'
import type { z } from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { MemberView } from '@rosemaryspread/decisions/membership/memberTypes.js'
import type { PeerClient, PeerServer } from '@rosemaryspread/peers/link/linkTypes.js'
import type { BudgetDriver } from './budgetDriver.js'
import { confirmAnswerSchema, confirmAskSchema, giveAnswerSchema, giveAskSchema, recallAnswerSchema, recallAskSchema, type BudgetMember, type BudgetPeers, type ConfirmAnswer, type ConfirmAsk, type GiveAnswer, type GiveAsk, type RecallAnswer, type RecallAsk } from './budgetPeers.js'
import { parseAnswer } from './peerAnswer.js'

/** Names of the peer methods. */
const methods = { give: 'budget.give', recall: 'budget.recall', confirm: 'budget.confirm' } as const
/** Timeout of a call that needs no table access. */
const QUICK_CALL_MS = 1_000
/** Timeout of a recall, which waits for a table write of the other VM. */
const RECALL_CALL_MS = 3_000

export interface BudgetPeerCallsParts {
  readonly client: PeerClient
  readonly holder: string
  readonly members: () => readonly MemberView[]
}

/** Sends budget requests to other VMs. */
export class BudgetPeerCalls implements BudgetPeers {
  constructor (private readonly parts: BudgetPeerCallsParts) {}

  members (): readonly BudgetMember[] {
    return this.others().map(({ holder, domain }) => ({ holder, domain }))
  }

  async give (holder: string, ask: GiveAsk): Promise<Either<Failure, GiveAnswer>> {
    return await this.call(holder, methods.give, ask, giveAnswerSchema, QUICK_CALL_MS)
  }

  async recall (holder: string, ask: RecallAsk): Promise<Either<Failure, RecallAnswer>> {
    return await this.call(holder, methods.recall, ask, recallAnswerSchema, RECALL_CALL_MS)
  }

  async confirmNoTransfers (holder: string, ask: ConfirmAsk): Promise<Either<Failure, ConfirmAnswer>> {
    return await this.call(holder, methods.confirm, ask, confirmAnswerSchema, QUICK_CALL_MS)
  }

  private others (): MemberView[] {
    return this.parts.members().filter(({ holder, state }) => holder !== this.parts.holder && state !== 'gone')
  }

  private async call<T> (holder: string, method: string, ask: unknown, schema: z.ZodType<T>, timeoutMs: number): Promise<Either<Failure, T>> {
    const member = this.others().find(other => other.holder === holder)
    if (member === undefined) return Left(new Failure('peerUnreachable', `no current member has the holder id ${holder}`))
    const answer = await this.parts.client.call(member.peers, method, ask, timeoutMs)
    return answer.chain(value => parseAnswer(schema, value, method))
  }
}

/** Registers the handlers of budget requests from other VMs. */
export function serveBudgetPeers (server: PeerServer, driver: BudgetDriver): void {
  server.register(methods.give, async params => driver.onGive(giveAskSchema.parse(params)))
  server.register(methods.recall, async params => await driver.onRecall(recallAskSchema.parse(params)))
  server.register(methods.confirm, async params => driver.onConfirm(confirmAskSchema.parse(params)))
}
