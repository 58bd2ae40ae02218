/**
 * Assembles one answer from the pieces of a stream and its resumptions, each piece exactly once.
 * A repeated piece with the same text is dropped. A piece of another request, a gap, or a repeated
 * number with different text fails with `answerMixed`, since the stream cannot be trusted.
 */
import { Just, Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AnswerPiece } from './engineTypes.js'

function mixedAnswer (detail: string): Failure {
  return new Failure('answerMixed', detail, { ran: 'yes' })
}

export class AnswerAssembler {
  private readonly texts: string[] = []
  private ended = false

  constructor (private readonly requestId: string) {}

  /** Sequence number of the next missing piece. */
  get next (): number {
    return this.texts.length
  }

  /**
   * Adds a piece. Failure: `answerMixed`.
   * @returns the text to pass on, or nothing for a repeated piece
   */
  accept (piece: AnswerPiece): Either<Failure, Maybe<string>> {
    if (piece.requestId !== this.requestId) return Left(mixedAnswer('piece of a different request'))
    if (this.ended) return Left(mixedAnswer('piece after the end of the answer'))
    if (piece.sequence > this.next) return Left(mixedAnswer(`piece ${piece.sequence} received, expected ${this.next}`))
    return piece.sequence === this.next ? this.append(piece.text) : this.checkRepeated(piece)
  }

  /** Marks the answer as complete. Failure: `answerMixed` for another request or a second end. */
  finish (requestId: string): Either<Failure, void> {
    if (requestId !== this.requestId) return Left(mixedAnswer('end of a different request'))
    if (this.ended) return Left(mixedAnswer('second end of the answer'))
    this.ended = true
    return Right(undefined)
  }

  private append (text: string): Either<Failure, Maybe<string>> {
    this.texts.push(text)
    return Right(Just(text))
  }

  private checkRepeated (piece: AnswerPiece): Either<Failure, Maybe<string>> {
    const isSame = this.texts[piece.sequence] === piece.text
    return isSame ? Right(Nothing) : Left(mixedAnswer(`piece ${piece.sequence} repeated with different text`))
  }
}
