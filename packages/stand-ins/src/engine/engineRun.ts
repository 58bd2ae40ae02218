/**
 * One run of the engine stand-in with those who listen to it.
 */
import type { EngineRequest, RunRecord, Usage } from '@rosemaryspread/runners/engine/engineTypes.js'
import { planAnswer, promptTokensOf, type PlannedAnswer } from './engineText.js'
import { promptPrefixes, type PromptPrefix } from './prefixCache.js'

/** Follows a run; called in the order of the pieces. */
export interface RunListener {
  piece (index: number): void
  /** The run finished or was cancelled. */
  ended (): void
  /** The engine lost the run; the stream breaks off. */
  lost (): void
}

/** A run from submission to its end. */
export class EngineRun {
  readonly answer: PlannedAnswer
  readonly prefixes: readonly PromptPrefix[]
  readonly listeners = new Set<RunListener>()
  state: 'running' | 'finished' | 'cancelled' = 'running'
  /** Pieces generated so far. */
  generated = 0
  /** Whether it got a slot; a run that never did has used nothing. */
  started = false
  /** Wall milliseconds when its prompt is computed. */
  readyAt = 0
  /** Tokens that the engine claims above its cap. */
  overreport = 0
  private readonly promptTokens: number

  /**
   * @param req - the request as submitted
   */
  constructor (readonly req: EngineRequest) {
    this.answer = planAnswer(req, req.maxTokens)
    this.prefixes = promptPrefixes(req.model, req.messages)
    this.promptTokens = promptTokensOf(req.messages)
  }

  get promptLength (): number {
    return this.promptTokens
  }

  /** Text generated so far. */
  get text (): string {
    return this.answer.pieces.slice(0, this.generated).join('')
  }

  /** Tokens really used so far. */
  get tokens (): number {
    return this.started ? this.promptTokens + this.generated : 0
  }

  /** Usage as the engine reports it. */
  get usage (): Usage {
    const completionTokens = this.overreport > 0 ? this.req.maxTokens + this.overreport : this.generated
    return { promptTokens: this.started ? this.promptTokens : 0, completionTokens }
  }

  get record (): RunRecord {
    const { requestId, digest, holder, team, budget, model } = this.req
    return { requestId, digest, holder, team, budget, model, state: this.state, ...this.usage }
  }

  /** Generates the next piece; answers whether it was the last. */
  generate (): boolean {
    const index = this.generated++
    for (const listener of this.listeners) listener.piece(index)
    return this.generated >= this.answer.pieces.length
  }

  /**
   * Ends the run.
   * @param state - how it ended
   */
  end (state: 'finished' | 'cancelled'): void {
    this.state = state
    for (const listener of this.listeners) listener.ended()
    this.listeners.clear()
  }

  /** Breaks off every stream of the run. */
  lose (): void {
    this.state = 'cancelled'
    for (const listener of this.listeners) listener.lost()
    this.listeners.clear()
  }
}
