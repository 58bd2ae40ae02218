/**
 * One run of one request at one runner: opens its stream, relays it, resumes it at the right
 * piece after a broken connection, and says how it ended.
 */
import type { Either } from 'purify-ts'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AnswerEnd, EngineClient, EngineEvent, EngineStream } from '@rosemaryspread/runners/engine/engineTypes.js'
import { msUntil } from './completionAdmission.js'
import type { AnswerRelay } from './completionRelay.js'

/** Resumptions of one run before it is given up. */
const MAX_RESUMES = 3

/** How an attempt ended. */
export type AttemptOutcome =
  /** The whole answer was relayed, or read to its end after the caller had gone. */
  | { readonly kind: 'whole', readonly end: AnswerEnd, readonly holder: string }
  /** The run was never started: another runner may be tried. */
  | { readonly kind: 'notStarted', readonly failure: Failure }
  /** The run was started and its end was not seen. */
  | { readonly kind: 'cut', readonly failure: Failure }

/** What an attempt needs. */
export interface AttemptContext {
  readonly client: EngineClient
  readonly clock: Clock
  readonly address: string
  readonly requestId: string
  readonly deadline: Instant
  readonly relay: AnswerRelay
  /** Whether the run stops when the caller goes away. */
  readonly stopWhenGone: boolean
  readonly gone: AbortSignal
  readonly onFirstPiece: () => void
  /** Told each time a piece follows another, with the milliseconds between. */
  readonly onPieceGap: (milliseconds: number) => void
}

/**
 * Runs an attempt to its end.
 * @param context - where and for whom
 * @param open - opens the first stream
 */
export async function runAttempt (context: AttemptContext, open: () => Promise<Either<Failure, EngineStream>>): Promise<AttemptOutcome> {
  const opened = await open()
  if (opened.isLeft()) return failedToOpen(opened.extract())
  return await new StreamReader(context).read(opened.unsafeCoerce())
}

function failedToOpen (failure: Failure): AttemptOutcome {
  return failure.ran === 'no' ? { kind: 'notStarted', failure } : { kind: 'cut', failure }
}

/** Reads the stream of one run over as many connections as it takes. */
class StreamReader {
  private next = 0
  private resumes = 0
  private lastPieceAt: number | undefined
  private stopped: Failure | undefined
  private current: EngineStream | undefined

  constructor (private readonly context: AttemptContext) {}

  async read (first: EngineStream): Promise<AttemptOutcome> {
    const { holder } = first
    const timer = setTimeout(() => { this.stop(new Failure('deadlineExceeded', 'the deadline passed during the answer', { ran: 'yes' })) }, Math.max(0, msUntil(this.context.deadline, this.context.clock.now())))
    const onGone = (): void => { this.stop(new Failure('callerGone', 'the caller closed the connection', { ran: 'yes' })) }
    if (this.context.stopWhenGone) this.context.gone.addEventListener('abort', onGone)
    try {
      const ended = await this.readConnections(first)
      return ended instanceof Failure ? { kind: 'cut', failure: this.stopped ?? ended } : { kind: 'whole', end: ended, holder }
    } finally {
      clearTimeout(timer)
      this.context.gone.removeEventListener('abort', onGone)
    }
  }

  private async readConnections (first: EngineStream): Promise<AnswerEnd | Failure> {
    let stream = first
    for (;;) {
      const ended = await this.readOne(stream)
      if (!(ended instanceof Failure)) return ended
      if (this.stopped !== undefined || ended.code === 'answerMixed' || this.resumes >= MAX_RESUMES) return ended
      this.resumes += 1
      const resumed = await this.context.client.resume(this.context.address, this.context.requestId, this.next)
      if (resumed.isLeft()) return ended
      stream = resumed.unsafeCoerce()
    }
  }

  private async readOne (stream: EngineStream): Promise<AnswerEnd | Failure> {
    this.current = stream
    if (this.context.gone.aborted && this.context.stopWhenGone) this.stop(new Failure('callerGone', 'the caller closed the connection', { ran: 'yes' }))
    try {
      for await (const event of stream.events) {
        const ended = this.take(event)
        if (ended !== undefined) return ended
      }
      return new Failure('answerCut', 'the stream ended before the answer', { ran: 'yes' })
    } catch (err) {
      return toFailure(err)
    } finally {
      stream.close()
    }
  }

  private take (event: EngineEvent): AnswerEnd | Failure | undefined {
    if (this.stopped !== undefined) return this.stopped
    const requestId = event.kind === 'piece' ? event.piece.requestId : event.requestId
    if (requestId !== this.context.requestId) return mixed(`a piece of request ${requestId}`)
    if (event.kind === 'end') return event.end
    if (event.piece.sequence > this.next) return mixed(`piece ${event.piece.sequence} where ${this.next} was due`)
    if (event.piece.sequence === this.next) this.pass(event.piece.text)
    return undefined
  }

  private pass (text: string): void {
    const at = this.context.clock.now().mono
    if (this.lastPieceAt === undefined) this.context.onFirstPiece()
    else this.context.onPieceGap(at - this.lastPieceAt)
    this.lastPieceAt = at
    this.next += 1
    this.context.relay.piece(text)
  }

  private stop (failure: Failure): void {
    this.stopped ??= failure
    this.current?.close()
  }
}

function mixed (detail: string): Failure {
  return new Failure('answerMixed', detail, { ran: 'yes' })
}
