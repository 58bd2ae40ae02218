/**
 * Requests grants from other VMs, one after another until enough was granted, starting with those that reported the
 * highest balance. A late answer is not awaited; the tokens it grants are accepted for later requests. Tokens lost with
 * an answer are never used twice.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { GrantedTokens } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { LateResponseHandler, PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import type { PeerVm } from '../presence/vmPresence.js'
import type { GrantOutcome } from './budgetDriverTypes.js'
import { GrantReturnCalls, type HandBackOutcome } from './grantReturnCalls.js'
import { parseAnswer } from './peerAnswer.js'

/** Names of the peer methods. */
export const GRANT_METHOD = 'budget.gift'
export const HANDOVER_METHOD = 'budget.handOver'
/** Timeout of one call: a few round trips of a slow VM, and short against the latency objective of the waiting request. */
const CALL_TIMEOUT_MS = 60
/** Milliseconds for which a VM that did not answer is tried last. */
const UNRESPONSIVE_MS = 2_000
/** Upper bound of VMs called for one request. */
const MAX_PEERS_PER_REQUEST = 6
/** Milliseconds for which a reported balance is valid; afterwards it counts as unknown. */
const BALANCE_TTL_MS = 3_000

const amount = z.number().int().nonnegative()
const grantRequestSchema = z.object({ giftId: z.string(), budget: z.string(), to: z.string(), tokens: amount, priority: amount.optional() })
const grantResponseSchema = z.object({ tokens: amount, left: amount, takesBack: z.boolean().optional() })

const handoverSchema = z.object({ budget: z.string(), tokens: amount })

/** Tokens handed over to another VM. */
export type Handover = z.infer<typeof handoverSchema>
export type GrantRequest = z.infer<typeof grantRequestSchema>
/** Tokens granted, the balance that remains to grant, and whether unused tokens may be handed back. */
export type GrantResponse = z.infer<typeof grantResponseSchema>

export interface GrantCallsParts {
  readonly holder: string
  readonly clock: Clock
  readonly log: EventLog
  /** Other VMs that may have tokens of a budget. */
  peersFor (budget: string): readonly PeerVm[]
  call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateResponseHandler): Promise<Either<Failure, unknown>>
  /** Accepts tokens granted after the request for them timed out. */
  acceptLateGrant (budget: string, tokens: number): void
  /** Rank of a VM whose balance for a budget is unknown: in [0, 1), constant for each pair. Higher ranks are called first. */
  preference (peer: string, budget: string): number
}

interface ReportedBalance {
  readonly left: number
  readonly at: number
}

/** Calls other VMs for grants and handovers. */
export class BudgetGrantCalls {
  /** Last reported balance by VM and budget. */
  private readonly balances = new Map<string, ReportedBalance>()
  private readonly unresponsiveUntil = new Map<string, number>()

  /** VMs that accept tokens handed back, as they said with their last grant. */
  private readonly takingBack = new Set<string>()
  private readonly returns: GrantReturnCalls

  constructor (private readonly parts: GrantCallsParts) {
    this.returns = new GrantReturnCalls(parts)
  }

  /**
   * Requests a grant.
   * @param tokens - tokens lacking
   * @param priority - of the most urgent request that lacks them
   */
  async ask (giftId: string, budget: string, tokens: number, priority?: number): Promise<GrantOutcome> {
    const { clock, log } = this.parts
    const startedAt = clock.now().mono
    let granted = 0
    let callCount = 0
    let isReached = false
    for (const peer of this.rankedPeers(budget)) {
      if (granted >= tokens) break
      callCount += 1
      granted += await this.requestWithRetry(peer, { giftId: `${giftId}/${callCount}`, budget, to: this.parts.holder, tokens: tokens - granted, ...(priority === undefined ? {} : { priority }) })
      isReached ||= !this.isUnresponsive(peer)
    }
    log.write('budgetGiftsTaken', { budget, asked: tokens, tokens: granted, peers: callCount, tookMs: clock.now().mono - startedAt })
    return { tokens: granted, isReached }
  }

  /**
   * Opens a link to the first owner of a budget and reads its balance, because requests are refused while the first ones
   * in the traffic still open links.
   */
  async connectOwner (budget: string): Promise<void> {
    const [peer] = this.rankedPeers(budget)
    if (peer === undefined || this.balances.has(keyOf(peer, budget))) return
    const request = { giftId: 'meet', budget, to: this.parts.holder, tokens: 0 }
    this.taken(peer, request, await this.callOnce(peer, request))
  }

  /**
   * Hands tokens over to the first other VM that answers. The tokens are lost where it is unknown whether a VM accepted
   * them.
   */
  async handOver (budget: string, tokens: number): Promise<boolean> {
    for (const peer of this.rankedPeers(budget)) {
      const answer = await this.parts.call(peer.address, HANDOVER_METHOD, { budget, tokens }, CALL_TIMEOUT_MS)
      const outcome = answer.caseOf({ Left: ({ ran }) => ran === 'no' ? 'notTaken' : 'lost', Right: () => 'taken' })
      if (outcome !== 'notTaken') return outcome === 'taken'
    }
    return false
  }

  /** Hands tokens that are not used here back to owners. */
  async handBack (grants: readonly GrantedTokens[]): Promise<HandBackOutcome> {
    return await this.returns.handBack(grants, budget => this.parts.peersFor(budget).filter(peer => this.takingBack.has(peer.holder) && !this.isUnresponsive(peer)))
  }

  /**
   * Retries once, because the link may have become unresponsive: the second call uses another link, which avoids trying
   * one VM after another over unresponsive links.
   */
  private async requestWithRetry (peer: PeerVm, request: GrantRequest): Promise<number> {
    const answer = await this.callOnce(peer, request)
    const isLinkSuspect = answer.isLeft() && answer.extract().ran === 'unknown' && !this.isUnresponsive(peer)
    if (!isLinkSuspect) return this.taken(peer, request, answer)
    return this.taken(peer, request, await this.callOnce(peer, { ...request, giftId: `${request.giftId}/again` }))
  }

  /** Accepts late answers too: a busy VM reads answers late and would lose a large share of the tokens granted to it. */
  private async callOnce (peer: PeerVm, request: GrantRequest): Promise<Either<Failure, unknown>> {
    return await this.parts.call(peer.address, GRANT_METHOD, request, CALL_TIMEOUT_MS, late => {
      parseAnswer(grantResponseSchema, late, GRANT_METHOD).ifRight(({ tokens }) => {
        const accepted = Math.min(tokens, request.tokens)
        if (accepted > 0) this.parts.acceptLateGrant(request.budget, accepted)
        this.parts.log.write('budgetGiftLate', { budget: request.budget, tokens: accepted, from: peer.holder })
      })
    })
  }

  private isUnresponsive (peer: PeerVm): boolean {
    return (this.unresponsiveUntil.get(peer.holder) ?? 0) > this.parts.clock.now().mono
  }

  private taken (peer: PeerVm, request: GrantRequest, answer: Either<Failure, unknown>): number {
    const { mono } = this.parts.clock.now()
    return answer.chain(value => parseAnswer(grantResponseSchema, value, GRANT_METHOD)).caseOf({
      Left: () => {
        this.unresponsiveUntil.set(peer.holder, mono + UNRESPONSIVE_MS)
        return 0
      },
      Right: ({ tokens, left, takesBack }) => {
        if (takesBack === true) this.takingBack.add(peer.holder)
        this.balances.set(keyOf(peer, request.budget), { left, at: mono })
        return Math.min(tokens, request.tokens)
      }
    })
  }

  /**
   * Peers in calling order: highest balance first, then unknown balance, then empty, unresponsive ones last. Peers with
   * an unknown balance have a fixed order for each budget, so that a VM of a large fleet has links to few others.
   */
  private rankedPeers (budget: string): readonly PeerVm[] {
    const { mono } = this.parts.clock.now()
    return this.parts.peersFor(budget)
      .map(peer => ({ peer, rank: this.rank(peer, budget, mono) }))
      .sort((a, b) => b.rank - a.rank)
      .slice(0, MAX_PEERS_PER_REQUEST)
      .map(({ peer }) => peer)
  }

  private rank (peer: PeerVm, budget: string, mono: number): number {
    if (this.isUnresponsive(peer)) return -2
    const reported = this.balances.get(keyOf(peer, budget))
    if (reported === undefined || mono - reported.at > BALANCE_TTL_MS) return this.parts.preference(peer.holder, budget)
    return reported.left > 0 ? reported.left : -1
  }
}

/**
 * Peer method that answers grant requests.
 * @param grant - answers a request from the budgets of this VM
 */
export function grantMethod (grant: (request: GrantRequest) => GrantResponse): PeerMethodHandler {
  return async params => grant(grantRequestSchema.parse(params))
}

/**
 * Peer method that accepts handovers of terminating VMs.
 * @param accept - adds tokens to the budgets of this VM
 */
export function handoverMethod (accept: (budget: string, tokens: number) => void): PeerMethodHandler {
  return async params => {
    const { budget, tokens } = handoverSchema.parse(params)
    accept(budget, tokens)
  }
}

function keyOf ({ holder }: PeerVm, budget: string): string {
  return `${holder} ${budget}`
}
