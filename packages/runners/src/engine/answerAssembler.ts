/**
 * Puts one answer together from the pieces of a stream and of its resumptions, each piece
 * exactly once. A piece that comes again is dropped if its text is the same; a piece of another
 * request, a gap, or other text under a known number means that the stream cannot be trusted.
 */
import { Just, Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AnswerPiece } from './engineTypes.js'

function mixed (detail: string): Failure {
  return new Failure('answerMixed', detail, { ran: 'yes' })
}

/** Assembler of one answer. */
export class AnswerAssembler {
  private readonly texts: string[] = []
  private ended = false

  /** @param requestId - the only request whose pieces are taken */
  constructor (private readonly requestId: string) {}

  /** Number of the next piece that is needed. */
  get next (): number {
    return this.texts.length
  }

  /**
   * Takes a piece. Failure: `answerMixed`.
   * @param piece - the piece as it arrived
   * @returns the text to pass on, or nothing when it was passed on before
   */
  accept (piece: AnswerPiece): Either<Failure, Maybe<string>> {
    if (piece.requestId !== this.requestId) return Left(mixed('a piece belongs to another request'))
    if (this.ended) return Left(mixed('a piece follows the end'))
    if (piece.sequence > this.next) return Left(mixed(`piece ${piece.sequence} where ${this.next} was due`))
    return piece.sequence === this.next ? this.append(piece.text) : this.compare(piece)
  }

  /**
   * Takes the end of the answer. Failure: `answerMixed` for another request or a second end.
   * @param requestId - the request whose answer ended
   */
  finish (requestId: string): Either<Failure, void> {
    if (requestId !== this.requestId) return Left(mixed('the end belongs to another request'))
    if (this.ended) return Left(mixed('a second end'))
    this.ended = true
    return Right(undefined)
  }

  private append (text: string): Either<Failure, Maybe<string>> {
    this.texts.push(text)
    return Right(Just(text))
  }

  private compare (piece: AnswerPiece): Either<Failure, Maybe<string>> {
    const same = this.texts[piece.sequence] === piece.text
    return same ? Right(Nothing) : Left(mixed(`piece ${piece.sequence} came again with another text`))
  }
}
