/**
 * Relays an answer to its caller: one beginning, the pieces in order, and exactly one end. After the
 * caller disconnects nothing is written, though the run may continue.
 */
import type { AnswerSink } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AnswerEnd } from '@rosemaryspread/runners/engine/engineTypes.js'

export class AnswerRelay {
  /** Pieces received so far, including those that arrived after the caller disconnected. */
  pieces = 0
  private hasBegun = false
  private ended = false

  constructor (
    private readonly sink: AnswerSink,
    private readonly gone: AbortSignal,
    private readonly requestId: string,
    private readonly model: string
  ) {}

  /** Whether a piece was received; after that no other runner may be tried. */
  get started (): boolean {
    return this.pieces > 0
  }

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

  /** Deferred until the first piece, so that a failure before it can still set the HTTP status. */
  private begin (): void {
    if (this.hasBegun) return
    this.hasBegun = true
    this.sink.begin(this.requestId, this.model)
  }

  private get closed (): boolean {
    return this.ended || this.callerGone
  }
}
