/**
 * One run of the engine and the streams that follow it.
 */
import type { EngineRequest, RunRecord, Usage } from '@rosemaryspread/runners/engine/engineTypes.js'
import { planAnswer, countPromptTokens, type PlannedAnswer } from './engineText.js'
import { promptPrefixes, type PromptPrefix } from './prefixCache.js'

/** Follows a run; pieces arrive in order. */
export interface RunListener {
  piece (index: number): void
  /** The run finished or was cancelled. */
  ended (): void
  /** The engine lost the run; the stream ends without its final event. */
  lost (): void
}

/** A run, from submission to its end. */
export class EngineRun {
  readonly answer: PlannedAnswer
  readonly prefixes: readonly PromptPrefix[]
  readonly listeners = new Set<RunListener>()
  state: 'running' | 'finished' | 'cancelled' = 'running'
  /** Pieces generated so far. */
  generated = 0
  /** Whether it ever had a slot; a run without one has used no tokens. */
  started = false
  /** Wall-clock milliseconds at which its prompt has been computed. */
  readyAt = 0
  /** Tokens that the engine reports above the limit of the request; 0 for a correct report. */
  overreport = 0
  private readonly promptTokens: number

  constructor (readonly req: EngineRequest) {
    this.answer = planAnswer(req, req.maxTokens)
    this.prefixes = promptPrefixes(req.model, req.messages)
    this.promptTokens = countPromptTokens(req.messages)
  }

  get promptLength (): number {
    return this.promptTokens
  }

  /** Text generated so far. */
  get text (): string {
    return this.answer.pieces.slice(0, this.generated).join('')
  }

  /** Tokens actually used so far. */
  get tokens (): number {
    return this.started ? this.promptTokens + this.generated : 0
  }

  /** Usage as reported, including {@link overreport}. */
  get usage (): Usage {
    const completionTokens = this.overreport > 0 ? this.req.maxTokens + this.overreport : this.generated
    return { promptTokens: this.started ? this.promptTokens : 0, completionTokens }
  }

  get record (): RunRecord {
    const { requestId, digest, holder, team, budget, model } = this.req
    return { requestId, digest, holder, team, budget, model, state: this.state, ...this.usage }
  }

  /** Generates the next piece. Returns whether it was the last one. */
  generate (): boolean {
    const index = this.generated++
    for (const listener of this.listeners) listener.piece(index)
    return this.generated >= this.answer.pieces.length
  }

  end (state: 'finished' | 'cancelled'): void {
    this.state = state
    for (const listener of this.listeners) listener.ended()
    this.listeners.clear()
  }

  /** Cancels the run and cuts all its streams. */
  abort (): void {
    this.state = 'cancelled'
    for (const listener of this.listeners) listener.lost()
    this.listeners.clear()
  }
}
