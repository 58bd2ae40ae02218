/**
 * One attempt of a request at one runner: opens the stream, relays it to the caller, and resumes
 * it at the next piece after a broken connection.
 */
import type { Either } from 'purify-ts'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AnswerEnd, EngineClient, EngineEvent, EngineStream } from '@rosemaryspread/runners/engine/engineTypes.js'
import { msUntil } from './completionAdmission.js'
import type { AnswerRelay } from './completionRelay.js'

/** Resumed connections per attempt. */
const MAX_RESUMES = 3

export type AttemptOutcome =
  /** The complete answer was relayed, or read to its end after the caller disconnected. */
  | { readonly kind: 'whole', readonly end: AnswerEnd, readonly holder: string }
  /** The runner did not start the run: another runner may be tried. */
  | { readonly kind: 'notStarted', readonly failure: Failure }
  /** The run may have started, and its end was not received. */
  | { readonly kind: 'cut', readonly failure: Failure }

export interface AttemptContext {
  readonly client: EngineClient
  readonly clock: Clock
  readonly address: string
  readonly requestId: string
  readonly deadline: Instant
  readonly relay: AnswerRelay
  /** Whether the attempt ends when the caller disconnects; keyed requests run to completion. */
  readonly cancelOnDisconnect: boolean
  readonly gone: AbortSignal
  readonly onFirstPiece: () => void
  /** Called for each piece after the first, with the milliseconds since the previous one. */
  readonly onPieceGap: (milliseconds: number) => void
}

/**
 * Runs an attempt to its end.
 * @param open - opens the first stream, by submitting or by joining the run
 */
export async function runAttempt (context: AttemptContext, open: () => Promise<Either<Failure, EngineStream>>): Promise<AttemptOutcome> {
  const opened = await open()
  if (opened.isLeft()) return openFailure(opened.extract())
  return await new StreamReader(context).read(opened.unsafeCoerce())
}

function openFailure (failure: Failure): AttemptOutcome {
  return failure.ran === 'no' ? { kind: 'notStarted', failure } : { kind: 'cut', failure }
}

/** Reads the stream of one run, resuming it over further connections when one breaks. */
class StreamReader {
  private next = 0
  private resumes = 0
  private lastPieceAt: number | undefined
  private stopped: Failure | undefined
  private current: EngineStream | undefined

  constructor (private readonly context: AttemptContext) {}

  async read (first: EngineStream): Promise<AttemptOutcome> {
    const { holder } = first
    const timer = setTimeout(() => { this.stop(new Failure('deadlineExceeded', 'the deadline passed while the answer was streaming', { ran: 'yes' })) }, Math.max(0, msUntil(this.context.deadline, this.context.clock.now())))
    const onDisconnect = (): void => { this.stop(new Failure('callerGone', 'the caller closed the connection', { ran: 'yes' })) }
    if (this.context.cancelOnDisconnect) this.context.gone.addEventListener('abort', onDisconnect)
    try {
      const result = await this.readWithResumes(first)
      return result instanceof Failure ? { kind: 'cut', failure: this.stopped ?? result } : { kind: 'whole', end: result, holder }
    } finally {
      clearTimeout(timer)
      this.context.gone.removeEventListener('abort', onDisconnect)
    }
  }

  private async readWithResumes (first: EngineStream): Promise<AnswerEnd | Failure> {
    let stream = first
    for (;;) {
      const result = await this.readStream(stream)
      if (!(result instanceof Failure)) return result
      if (this.stopped !== undefined || result.code === 'answerMixed' || this.resumes >= MAX_RESUMES) return result
      this.resumes += 1
      const resumed = await this.context.client.resume(this.context.address, this.context.requestId, this.next)
      if (resumed.isLeft()) return result
      stream = resumed.unsafeCoerce()
    }
  }

  private async readStream (stream: EngineStream): Promise<AnswerEnd | Failure> {
    this.current = stream
    if (this.context.gone.aborted && this.context.cancelOnDisconnect) this.stop(new Failure('callerGone', 'the caller closed the connection', { ran: 'yes' }))
    try {
      for await (const event of stream.events) {
        const result = this.handleEvent(event)
        if (result !== undefined) return result
      }
      return new Failure('answerCut', 'the stream ended before the answer was complete', { ran: 'yes' })
    } catch (err) {
      return toFailure(err)
    } finally {
      stream.close()
    }
  }

  private handleEvent (event: EngineEvent): AnswerEnd | Failure | undefined {
    if (this.stopped !== undefined) return this.stopped
    const requestId = event.kind === 'piece' ? event.piece.requestId : event.requestId
    if (requestId !== this.context.requestId) return mixedFailure(`received a piece of request ${requestId}`)
    if (event.kind === 'end') return event.end
    if (event.piece.sequence > this.next) return mixedFailure(`received piece ${event.piece.sequence}, expected ${this.next}`)
    if (event.piece.sequence === this.next) this.relayPiece(event.piece.text)
    return undefined
  }

  private relayPiece (text: string): void {
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

function mixedFailure (detail: string): Failure {
  return new Failure('answerMixed', detail, { ran: 'yes' })
}
