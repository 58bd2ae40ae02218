/**
 * Streams the answer of one run and resumes it after a broken connection, a bounded number of
 * times. Either the end arrives and every piece was yielded once and in order, or the generator
 * throws a {@link Failure}.
 */
import type { Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { AnswerAssembler } from './answerAssembler.js'
import { toStreamFailure } from './httpEngineStream.js'
import type { AnswerEnd, EngineClient, EngineEvent, EngineRequest, EngineStream } from './engineTypes.js'

export interface StreamWholeOptions {
  /** Connections after the first. */
  readonly resumes: number
  /** Delay before each resumption. */
  readonly pauseMs: number
  readonly pause: (ms: number) => Promise<void>
  /** Stops the stream when aborted; throws the code of its reason if that is a {@link Failure}, else `callerGone`. */
  readonly signal?: AbortSignal
}

/** Events of {@link streamAnswer}: the holder that started the run, then text, then one end. */
export type WholeEvent =
  | { readonly kind: 'started', readonly holder: string }
  | { readonly kind: 'text', readonly text: string }
  | { readonly kind: 'end', readonly end: AnswerEnd }

const CALLER_GONE = { code: 'callerGone', message: 'the caller disconnected' } as const

const RESUMABLE: readonly string[] = ['answerCut', 'runnerUnreachable']

function orThrow<T> (result: Either<Failure, T>): T {
  if (result.isLeft()) throw result.extract()
  return result.unsafeCoerce()
}

/** Follows one run across connections. */
class RunFollower {
  private readonly assembler: AnswerAssembler
  private stream: EngineStream | undefined
  /** Whether the engine accepted the run. */
  private accepted = false
  private maybeStarted = false
  /** Whether a submit was sent or is in progress. */
  private submitted = false

  constructor (
    private readonly client: EngineClient,
    private readonly address: string,
    private readonly req: EngineRequest,
    private readonly options: StreamWholeOptions
  ) {
    this.assembler = new AnswerAssembler(req.requestId)
  }

  async * follow (): AsyncGenerator<WholeEvent> {
    const onAbort = (): void => this.stream?.close()
    this.options.signal?.addEventListener('abort', onAbort)
    try {
      for (let tries = 0; ; tries++) {
        try {
          yield * this.connection()
          return
        } catch (err) {
          await this.beforeNext(toStreamFailure(err), tries)
        }
      }
    } finally {
      this.options.signal?.removeEventListener('abort', onAbort)
      this.stream?.close()
    }
  }

  private async * connection (): AsyncGenerator<WholeEvent> {
    this.throwIfAborted()
    const first = !this.accepted
    const stream = orThrow(await this.untilAborted(this.open()))
    this.stream = stream
    this.accepted = true
    if (first) yield { kind: 'started', holder: stream.holder }
    for await (const event of stream.events) {
      const next = this.take(event)
      if (next !== undefined) yield next
      if (next?.kind === 'end') return
    }
    throw new Failure('answerCut', 'the stream stopped without an end event', { ran: 'yes' })
  }

  private async open (): Promise<Either<Failure, EngineStream>> {
    this.submitted = true
    const opened = this.accepted
      ? await this.client.resume(this.address, this.req.requestId, this.assembler.next)
      : await this.client.submit(this.address, this.req)
    if (this.options.signal?.aborted === true) opened.ifRight(stream => stream.close())
    return opened
  }

  private take (event: EngineEvent): WholeEvent | undefined {
    if (event.kind === 'piece') {
      const text = orThrow(this.assembler.accept(event.piece)).extract()
      return text === undefined ? undefined : { kind: 'text', text }
    }
    orThrow(this.assembler.finish(event.requestId))
    return { kind: 'end', end: event.end }
  }

  /** Waits before the next connection, or throws the failure of the answer. */
  private async beforeNext (failure: Failure, tries: number): Promise<void> {
    this.throwIfAborted()
    if (failure.ran !== 'no') this.maybeStarted = true
    if (!this.goesOn(failure) || tries >= this.options.resumes) throw this.conclude(failure)
    await this.untilAborted(this.options.pause(this.options.pauseMs))
  }

  private goesOn (failure: Failure): boolean {
    return RESUMABLE.includes(failure.code) && (this.accepted || this.maybeStarted)
  }

  /** Combines the last failure with earlier connections: a late refusal must not report `ran: no` after an earlier submit reached the engine. */
  private conclude (failure: Failure): Failure {
    if (failure.code === 'answerMixed') return failure
    if (this.accepted) return new Failure('answerCut', `could not be resumed: ${failure.message}`, { ran: this.ranOnceAccepted(failure) })
    if (!this.maybeStarted || failure.ran !== 'no') return failure
    return new Failure(failure.code, failure.message, { ran: 'unknown', retryAfterMs: failure.retryAfterMs })
  }

  private ranOnceAccepted (failure: Failure): 'yes' | 'unknown' {
    return this.assembler.next > 0 || failure.ran === 'yes' ? 'yes' : 'unknown'
  }

  private throwIfAborted (): void {
    if (this.options.signal?.aborted === true) throw this.aborted(this.options.signal)
  }

  /** Awaits the promise, but rejects at once when the signal is aborted. */
  private async untilAborted<T> (work: Promise<T>): Promise<T> {
    const signal = this.options.signal
    if (signal === undefined) return await work
    let onAbort = (): void => {}
    const abort = new Promise<never>((resolve, reject) => {
      onAbort = () => reject(this.aborted(signal))
      signal.addEventListener('abort', onAbort)
    })
    return await Promise.race([work, abort]).finally(() => signal.removeEventListener('abort', onAbort))
  }

  private aborted (signal: AbortSignal): Failure {
    const { code, message } = signal.reason instanceof Failure ? signal.reason : CALLER_GONE
    const ran = this.accepted ? 'yes' : this.submitted ? 'unknown' : 'no'
    return new Failure(code, message, { ran })
  }
}

/**
 * Runs a request on an engine and yields its answer. Closing the generator early closes the
 * connection; the run continues on the engine. Throws {@link Failure}: those of
 * `EngineClient.submit`; `answerCut` when the stream broke and could not be resumed;
 * `answerMixed` when it contained data of another answer; when aborted, the reason or
 * `callerGone`, with `ran: no` only if nothing was sent.
 * @param address - IPv4:port of the engine
 */
export function streamWhole (
  client: EngineClient, address: string, req: EngineRequest, options: StreamWholeOptions
): AsyncGenerator<WholeEvent> {
  return new RunFollower(client, address, req, options).follow()
}
