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

export interface StreamAnswerOptions {
  /** Connections after the first. */
  readonly maxResumes: number
  /** Delay before each resumption. */
  readonly pauseMs: number
  readonly pause: (ms: number) => Promise<void>
  /** Stops the stream when aborted; throws the code of its reason if that is a {@link Failure}, else `callerGone`. */
  readonly signal?: AbortSignal
}

/** Events of {@link streamAnswer}: the holder that started the run, then text, then one end. */
export type AnswerEvent =
  | { readonly kind: 'started', readonly holder: string }
  | { readonly kind: 'text', readonly text: string }
  | { readonly kind: 'end', readonly end: AnswerEnd }

const CALLER_DISCONNECTED = { code: 'callerGone', message: 'the caller disconnected' } as const

const RESUMABLE_CODES: readonly string[] = ['answerCut', 'runnerUnreachable']

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
  private mayHaveStarted = false
  /** Whether a submit was sent or is in progress. */
  private submitted = false

  constructor (
    private readonly client: EngineClient,
    private readonly address: string,
    private readonly req: EngineRequest,
    private readonly options: StreamAnswerOptions
  ) {
    this.assembler = new AnswerAssembler(req.requestId)
  }

  async * follow (): AsyncGenerator<AnswerEvent> {
    const onAbort = (): void => this.stream?.close()
    this.options.signal?.addEventListener('abort', onAbort)
    try {
      for (let resumes = 0; ; resumes++) {
        try {
          yield * this.connection()
          return
        } catch (err) {
          await this.waitBeforeReconnect(toStreamFailure(err), resumes)
        }
      }
    } finally {
      this.options.signal?.removeEventListener('abort', onAbort)
      this.stream?.close()
    }
  }

  private async * connection (): AsyncGenerator<AnswerEvent> {
    this.throwIfAborted()
    const isFirst = !this.accepted
    const stream = orThrow(await this.rejectOnAbort(this.open()))
    this.stream = stream
    this.accepted = true
    if (isFirst) yield { kind: 'started', holder: stream.holder }
    for await (const event of stream.events) {
      const next = this.toAnswerEvent(event)
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

  private toAnswerEvent (event: EngineEvent): AnswerEvent | undefined {
    if (event.kind === 'piece') {
      const text = orThrow(this.assembler.accept(event.piece)).extract()
      return text === undefined ? undefined : { kind: 'text', text }
    }
    orThrow(this.assembler.finish(event.requestId))
    return { kind: 'end', end: event.end }
  }

  /** Waits before the next connection, or throws the failure of the answer. */
  private async waitBeforeReconnect (failure: Failure, resumes: number): Promise<void> {
    this.throwIfAborted()
    if (failure.ran !== 'no') this.mayHaveStarted = true
    if (!this.isResumable(failure) || resumes >= this.options.maxResumes) throw this.toFinalFailure(failure)
    await this.rejectOnAbort(this.options.pause(this.options.pauseMs))
  }

  private isResumable (failure: Failure): boolean {
    return RESUMABLE_CODES.includes(failure.code) && (this.accepted || this.mayHaveStarted)
  }

  /** Combines the last failure with earlier connections: a late refusal must not report `ran: no` after an earlier submit reached the engine. */
  private toFinalFailure (failure: Failure): Failure {
    if (failure.code === 'answerMixed') return failure
    if (this.accepted) return new Failure('answerCut', `could not be resumed: ${failure.message}`, { ran: this.executionOfAcceptedRun(failure) })
    if (!this.mayHaveStarted || failure.ran !== 'no') return failure
    return new Failure(failure.code, failure.message, { ran: 'unknown', retryAfterMs: failure.retryAfterMs })
  }

  private executionOfAcceptedRun (failure: Failure): 'yes' | 'unknown' {
    return this.assembler.next > 0 || failure.ran === 'yes' ? 'yes' : 'unknown'
  }

  private throwIfAborted (): void {
    if (this.options.signal?.aborted === true) throw this.createAbortFailure(this.options.signal)
  }

  /** Awaits the promise, but rejects at once when the signal is aborted. */
  private async rejectOnAbort<T> (promise: Promise<T>): Promise<T> {
    const signal = this.options.signal
    if (signal === undefined) return await promise
    let onAbort = (): void => {}
    const aborted = new Promise<never>((resolve, reject) => {
      onAbort = () => reject(this.createAbortFailure(signal))
      signal.addEventListener('abort', onAbort)
    })
    return await Promise.race([promise, aborted]).finally(() => signal.removeEventListener('abort', onAbort))
  }

  private createAbortFailure (signal: AbortSignal): Failure {
    const { code, message } = signal.reason instanceof Failure ? signal.reason : CALLER_DISCONNECTED
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
export function streamAnswer (
  client: EngineClient, address: string, req: EngineRequest, options: StreamAnswerOptions
): AsyncGenerator<AnswerEvent> {
  return new RunFollower(client, address, req, options).follow()
}
