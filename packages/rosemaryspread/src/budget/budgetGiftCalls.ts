/**
 * Carries asks for gifts to other VMs, one after another until enough was given: first to those that
 * had most left when they answered last. An answer that does not come in time is not waited for; what it
 * gave is taken when it comes after all, for later requests. What is lost with an answer is never used twice.
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

/** Methods between VMs. */
export const GIFT_METHOD = 'budget.gift'
export const HAND_OVER_METHOD = 'budget.handOver'
/** Milliseconds for one answer: some round trips of a slow VM, and short against the objective of the request that waits. */
const ANSWER_MS = 60
/** Milliseconds for which a VM that did not answer is asked last. */
const SILENT_MS = 2_000
/** VMs asked for one request at most. */
const MOST_ASKED = 6
/** Milliseconds for which it counts what a VM had left: then it is asked like one not known. */
const KNOWN_MS = 3_000

const amount = z.number().int().nonnegative()
const giftAskSchema = z.object({ giftId: z.string(), budget: z.string(), to: z.string(), tokens: amount })
const giftAnswerSchema = z.object({ tokens: amount, left: amount })

const handOverSchema = z.object({ budget: z.string(), tokens: amount })

/** What another VM is left. */
export type HandOver = z.infer<typeof handOverSchema>
/** What another VM is asked. */
export type GiftAsk = z.infer<typeof giftAskSchema>
/** What it gave, and what it has left to give. */
export type GiftAnswer = z.infer<typeof giftAnswerSchema>

/** What the calls work with. */
export interface GiftCallsParts {
  readonly holder: string
  readonly clock: Clock
  readonly log: EventLog
  /** The other VMs that may have tokens of a budget. */
  peersFor (budget: string): readonly PeerVm[]
  call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateAnswer): Promise<Either<Failure, unknown>>
  /** Takes tokens that were given after the ask for them was given up. */
  takeLate (budget: string, tokens: number): void
  /** How early a VM is asked for a budget of which it is not known what it has left: in [0, 1), always the same. */
  preference (peer: string, budget: string): number
}

interface KnownLeft {
  readonly left: number
  readonly at: number
}

/** Asks other VMs. */
export class BudgetGiftCalls {
  /** What a VM had left of a budget, by both. */
  private readonly known = new Map<string, KnownLeft>()
  private readonly silentUntil = new Map<string, number>()

  constructor (private readonly parts: GiftCallsParts) {}

  /**
   * Asks for tokens.
   * @param giftId - id of the ask
   * @param budget - budget id
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
   * Opens a link to the first owner of a budget and learns what it has left: with links opened by the first requests, 78 of
   * 900 were refused in the first two seconds of traffic.
   * @param budget - budget id
   */
  async meet (budget: string): Promise<void> {
    const [peer] = this.inOrder(budget)
    if (peer === undefined || this.known.has(keyOf(peer, budget))) return
    const ask = { giftId: 'meet', budget, to: this.parts.holder, tokens: 0 }
    this.taken(peer, ask, await this.callOnce(peer, ask))
  }

  /**
   * Leaves tokens to one other VM: the first that answers. Where it is not known whether one took them they are lost.
   * @param budget - budget id
   * @param tokens - amount
   */
  async handOver (budget: string, tokens: number): Promise<boolean> {
    for (const peer of this.inOrder(budget)) {
      const answer = await this.parts.call(peer.address, HAND_OVER_METHOD, { budget, tokens }, ANSWER_MS)
      const end = answer.caseOf({ Left: ({ ran }) => ran === 'no' ? 'notTaken' : 'lost', Right: () => 'taken' })
      if (end !== 'notTaken') return end === 'taken'
    }
    return false
  }

  /** The link may have gone silent: then the second ask goes over another one, in place of one VM after another over silent links. */
  private async askTwice (peer: PeerVm, ask: GiftAsk): Promise<number> {
    const answer = await this.callOnce(peer, ask)
    const mayBeSilent = answer.isLeft() && answer.extract().ran === 'unknown' && !this.isSilent(peer)
    if (!mayBeSilent) return this.taken(peer, ask, answer)
    return this.taken(peer, ask, await this.callOnce(peer, { ...ask, giftId: `${ask.giftId}/again` }))
  }

  /** A busy VM reads answers late: while late ones were not taken, one lost a third of what it was given, a million tokens in twelve seconds. */
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
   * Those that have most first, then those not known, then those known to have nothing, last the silent ones. Of those
   * not known the same come first for one budget, so that a VM of a large fleet has links to few others.
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
 * Serves the asks of other VMs.
 * @param give - answers an ask from the budgets of this VM
 */
export function giftMethod (give: (ask: GiftAsk) => GiftAnswer): PeerMethod {
  return async params => give(giftAskSchema.parse(params))
}

/**
 * Takes what VMs that end leave.
 * @param take - takes tokens into the budgets of this VM
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
