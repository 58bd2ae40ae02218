/**
 * The way of an answer to its caller: the beginning is told once, pieces in order, and exactly
 * one end. After the caller has gone nothing is written, while the run may still go on.
 */
import type { AnswerSink } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AnswerEnd } from '@rosemaryspread/runners/engine/engineTypes.js'

/** Relays one answer to one caller. */
export class AnswerRelay {
  /** Pieces handed on so far. */
  pieces = 0
  private begun = false
  private ended = false

  constructor (
    private readonly sink: AnswerSink,
    private readonly gone: AbortSignal,
    private readonly requestId: string,
    private readonly model: string
  ) {}

  /** Whether the caller has seen a part of the answer. */
  get started (): boolean {
    return this.pieces > 0
  }

  /** Whether the caller has closed the connection. */
  get callerGone (): boolean {
    return this.gone.aborted
  }

  piece (text: string): void {
    this.pieces += 1
    if (this.closed) return
    this.begin()
    this.sink.piece(text)
  }

  finish (end: AnswerEnd): void {
    if (this.closed) return
    this.begin()
    this.ended = true
    this.sink.finish(end.finishReason, end.usage)
  }

  fail (failure: Failure): void {
    if (this.closed) return
    this.ended = true
    this.sink.fail(failure)
  }

  /** Told with the first piece, so that a refusal before it still has a status of its own. */
  private begin (): void {
    if (this.begun) return
    this.begun = true
    this.sink.begin(this.requestId, this.model)
  }

  private get closed (): boolean {
    return this.ended || this.callerGone
  }
}
