/**
 * Hands granted tokens that are not used here back to owners of their budgets, one call to each owner for all budgets that it takes.
 * A call whose outcome is unknown is not repeated: its tokens may be lost, but are never used twice.
 */
import * as z from 'zod'
import type { GrantedTokens } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import type { PeerVm } from '../presence/vmPresence.js'
import type { GrantCallsParts } from './budgetGrantCalls.js'
import { parseAnswer } from './peerAnswer.js'

/** Name of the peer method. */
export const HAND_BACK_METHOD = 'budget.handBack'
/** Nothing waits for the answer; a shorter timeout would only hide that the tokens arrived. */
const CALL_TIMEOUT_MS = 1_000

const handBackSchema = z.object({
  grants: z.array(z.object({ budget: z.string(), tokens: z.number().int().nonnegative(), isAllotted: z.literal(true).optional() }))
})
const handBackResponseSchema = z.object({ short: z.array(z.string()) })

/** Budgets among the allotted ones of a message that an owner lacks tokens of. */
export type HandBackResponse = z.infer<typeof handBackResponseSchema>

/** Outcome of handing tokens back. */
export interface HandBackOutcome {
  /** Tokens that certainly no owner accepted. */
  readonly kept: readonly GrantedTokens[]
  /** Allotted budgets of which an owner lacks tokens. */
  readonly short: readonly string[]
}

/** Calls owners with granted tokens that are not used here. */
export class GrantReturnCalls {
  constructor (private readonly parts: Pick<GrantCallsParts, 'call'>) {}

  /**
   * Hands tokens back.
   * @param ownersOf - owners of a budget that accept them
   */
  async handBack (grants: readonly GrantedTokens[], ownersOf: (budget: string) => readonly PeerVm[]): Promise<HandBackOutcome> {
    const { batches, unassigned } = assignToOwners(grants, ownersOf)
    const outcomes = await Promise.all(batches.map(async batch => await this.callOwner(batch)))
    return { kept: [...unassigned, ...outcomes.flatMap(({ kept }) => kept)], short: outcomes.flatMap(({ short }) => short) }
  }

  private async callOwner ({ owner, grants }: OwnerBatch): Promise<HandBackOutcome> {
    const answer = await this.parts.call(owner.address, HAND_BACK_METHOD, { grants }, CALL_TIMEOUT_MS)
    if (answer.isLeft()) return { kept: answer.extract().ran === 'no' ? grants : [], short: [] }
    const short = answer.chain(value => parseAnswer(handBackResponseSchema, value, HAND_BACK_METHOD)).map(response => response.short)
    return { kept: [], short: short.orDefault([]) }
  }
}

/**
 * Peer method that accepts tokens handed back.
 * @param accept - adds tokens to the budgets of this VM, and says which of them are short
 */
export function handBackMethod (accept: (grants: readonly GrantedTokens[]) => HandBackResponse): PeerMethodHandler {
  return async params => accept(handBackSchema.parse(params).grants.map(({ budget, tokens, isAllotted }) => ({ budget, tokens, ...(isAllotted === undefined ? {} : { isAllotted }) })))
}

interface OwnerBatch {
  readonly owner: PeerVm
  readonly grants: readonly GrantedTokens[]
}

/** Assigns grants to few owners: the one that takes most budgets first. */
function assignToOwners (grants: readonly GrantedTokens[], ownersOf: (budget: string) => readonly PeerVm[]): { readonly batches: readonly OwnerBatch[], readonly unassigned: readonly GrantedTokens[] } {
  const candidates = new Map<string, { readonly owner: PeerVm, readonly grants: Set<GrantedTokens> }>()
  for (const grant of grants) {
    for (const owner of ownersOf(grant.budget)) {
      const candidate = candidates.get(owner.holder) ?? { owner, grants: new Set() }
      candidate.grants.add(grant)
      candidates.set(owner.holder, candidate)
    }
  }
  const left = new Set(grants)
  const batches: OwnerBatch[] = []
  while (left.size > 0) {
    const best = [...candidates.values()].reduce<OwnerBatch | undefined>((most, { owner, grants: all }) => {
      const open = [...all].filter(grant => left.has(grant))
      return open.length > (most?.grants.length ?? 0) ? { owner, grants: open } : most
    }, undefined)
    if (best === undefined) break
    batches.push(best)
    best.grants.forEach(grant => left.delete(grant))
  }
  return { batches, unassigned: [...left] }
}
