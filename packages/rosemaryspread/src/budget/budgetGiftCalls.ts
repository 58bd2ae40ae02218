/**
 * Requests grants from other VMs, one after another until enough was granted, starting with those that reported the
 * highest balance. A late answer is not awaited; the tokens it grants are accepted for later requests. Tokens lost with
 * an answer are never used twice.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { LateAnswer, PeerMethod } from '@rosemaryspread/peers/link/linkTypes.js'
import type { PeerVm } from '../presence/vmPresence.js'
import type { GiftOutcome } from './budgetDriverTypes.js'
import { parseAnswer } from './peerAnswer.js'

/** Names of the peer methods. */
export const GIFT_METHOD = 'budget.gift'
export const HAND_OVER_METHOD = 'budget.handOver'
/** Timeout of one call: a few round trips of a slow VM, and short against the latency objective of the waiting request. */
const ANSWER_MS = 60
/** Milliseconds for which a VM that did not answer is tried last. */
const SILENT_MS = 2_000
/** Upper bound of VMs called for one request. */
const MOST_ASKED = 6
/** Milliseconds for which a reported balance is valid; afterwards it counts as unknown. */
const KNOWN_MS = 3_000

const amount = z.number().int().nonnegative()
const giftAskSchema = z.object({ giftId: z.string(), budget: z.string(), to: z.string(), tokens: amount })
const giftAnswerSchema = z.object({ tokens: amount, left: amount })

const handOverSchema = z.object({ budget: z.string(), tokens: amount })

/** Tokens handed over to another VM. */
export type HandOver = z.infer<typeof handOverSchema>
export type GiftAsk = z.infer<typeof giftAskSchema>
/** Tokens granted, and the balance that remains to grant. */
export type GiftAnswer = z.infer<typeof giftAnswerSchema>

export interface GiftCallsParts {
  readonly holder: string
  readonly clock: Clock
  readonly log: EventLog
  /** Other VMs that may have tokens of a budget. */
  peersFor (budget: string): readonly PeerVm[]
  call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateAnswer): Promise<Either<Failure, unknown>>
  /** Accepts tokens granted after the request for them timed out. */
  takeLate (budget: string, tokens: number): void
  /** Rank of a VM whose balance for a budget is unknown: in [0, 1), constant for each pair. Higher ranks are called first. */
  preference (peer: string, budget: string): number
}

interface KnownLeft {
  readonly left: number
  readonly at: number
}

/** Calls other VMs for grants and handovers. */
export class BudgetGiftCalls {
  /** Last reported balance by VM and budget. */
  private readonly known = new Map<string, KnownLeft>()
  private readonly silentUntil = new Map<string, number>()

  constructor (private readonly parts: GiftCallsParts) {}

  /**
   * Requests a grant.
   * @param tokens - tokens lacking
   */
  async ask (giftId: string, budget: string, tokens: number): Promise<GiftOutcome> {
    const { clock, log } = this.parts
    const startedAt = clock.now().mono
    let given = 0
    let asked = 0
    let isReached = false
    for (const peer of this.inOrder(budget)) {
      if (given >= tokens) break
      asked += 1
      given += await this.askTwice(peer, { giftId: `${giftId}/${asked}`, budget, to: this.parts.holder, tokens: tokens - given })
      isReached ||= !this.isSilent(peer)
    }
    log.write('budgetGiftsTaken', { budget, asked: tokens, tokens: given, peers: asked, tookMs: clock.now().mono - startedAt })
    return { tokens: given, isReached }
  }

  /**
   * Opens a link to the first owner of a budget and reads its balance, because requests are refused while the first ones
   * in the traffic still open links.
   */
  async meet (budget: string): Promise<void> {
    const [peer] = this.inOrder(budget)
    if (peer === undefined || this.known.has(keyOf(peer, budget))) return
    const ask = { giftId: 'meet', budget, to: this.parts.holder, tokens: 0 }
    this.taken(peer, ask, await this.callOnce(peer, ask))
  }

  /**
   * Hands tokens over to the first other VM that answers. The tokens are lost where it is unknown whether a VM accepted
   * them.
   */
  async handOver (budget: string, tokens: number): Promise<boolean> {
    for (const peer of this.inOrder(budget)) {
      const answer = await this.parts.call(peer.address, HAND_OVER_METHOD, { budget, tokens }, ANSWER_MS)
      const end = answer.caseOf({ Left: ({ ran }) => ran === 'no' ? 'notTaken' : 'lost', Right: () => 'taken' })
      if (end !== 'notTaken') return end === 'taken'
    }
    return false
  }

  /**
   * Retries once, because the link may have become unresponsive: the second call uses another link, which avoids trying
   * one VM after another over unresponsive links.
   */
  private async askTwice (peer: PeerVm, ask: GiftAsk): Promise<number> {
    const answer = await this.callOnce(peer, ask)
    const mayBeSilent = answer.isLeft() && answer.extract().ran === 'unknown' && !this.isSilent(peer)
    if (!mayBeSilent) return this.taken(peer, ask, answer)
    return this.taken(peer, ask, await this.callOnce(peer, { ...ask, giftId: `${ask.giftId}/again` }))
  }

  /** Accepts late answers too: a busy VM reads answers late and would lose a large share of the tokens granted to it. */
  private async callOnce (peer: PeerVm, ask: GiftAsk): Promise<Either<Failure, unknown>> {
    return await this.parts.call(peer.address, GIFT_METHOD, ask, ANSWER_MS, late => {
      parseAnswer(giftAnswerSchema, late, GIFT_METHOD).ifRight(({ tokens }) => {
        const taken = Math.min(tokens, ask.tokens)
        if (taken > 0) this.parts.takeLate(ask.budget, taken)
        this.parts.log.write('budgetGiftLate', { budget: ask.budget, tokens: taken, from: peer.holder })
      })
    })
  }

  private isSilent (peer: PeerVm): boolean {
    return (this.silentUntil.get(peer.holder) ?? 0) > this.parts.clock.now().mono
  }

  private taken (peer: PeerVm, ask: GiftAsk, answer: Either<Failure, unknown>): number {
    const { mono } = this.parts.clock.now()
    return answer.chain(value => parseAnswer(giftAnswerSchema, value, GIFT_METHOD)).caseOf({
      Left: () => {
        this.silentUntil.set(peer.holder, mono + SILENT_MS)
        return 0
      },
      Right: ({ tokens, left }) => {
        this.known.set(keyOf(peer, ask.budget), { left, at: mono })
        return Math.min(tokens, ask.tokens)
      }
    })
  }

  /**
   * Peers in calling order: highest balance first, then unknown balance, then empty, unresponsive ones last. Peers with
   * an unknown balance have a fixed order for each budget, so that a VM of a large fleet has links to few others.
   */
  private inOrder (budget: string): readonly PeerVm[] {
    const { mono } = this.parts.clock.now()
    return this.parts.peersFor(budget)
      .map(peer => ({ peer, rank: this.rank(peer, budget, mono) }))
      .sort((a, b) => b.rank - a.rank)
      .slice(0, MOST_ASKED)
      .map(({ peer }) => peer)
  }

  private rank (peer: PeerVm, budget: string, mono: number): number {
    if (this.isSilent(peer)) return -2
    const known = this.known.get(keyOf(peer, budget))
    if (known === undefined || mono - known.at > KNOWN_MS) return this.parts.preference(peer.holder, budget)
    return known.left > 0 ? known.left : -1
  }
}

/**
 * Peer method that answers grant requests.
 * @param grant - answers a request from the budgets of this VM
 */
export function giftMethod (give: (ask: GiftAsk) => GiftAnswer): PeerMethod {
  return async params => give(giftAskSchema.parse(params))
}

/**
 * Peer method that accepts handovers of terminating VMs.
 * @param accept - adds tokens to the budgets of this VM
 */
export function handOverMethod (take: (budget: string, tokens: number) => void): PeerMethod {
  return async params => {
    const { budget, tokens } = handOverSchema.parse(params)
    take(budget, tokens)
  }
}

function keyOf ({ holder }: PeerVm, budget: string): string {
  return `${holder} ${budget}`
}
