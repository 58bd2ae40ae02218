/**
 * The whole answer of one run from one engine. When the connection breaks, the same run is
 * resumed where it stopped, a bounded number of times. Either the end arrives, and then every
 * piece before it was yielded once and in order, or the generator throws a {@link Failure}.
 */
import type { Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { AnswerAssembler } from './answerAssembler.js'
import { toStreamFailure } from './httpEngineStream.js'
import type { AnswerEnd, EngineClient, EngineEvent, EngineRequest, EngineStream } from './engineTypes.js'

/** How an answer is followed. */
export interface StreamWholeOptions {
  /** Most connections made after the first. */
  readonly resumes: number
  /** Milliseconds before each of them. */
  readonly pauseMs: number
  /** Waits; bound to a timer by the daemon. */
  readonly pause: (ms: number) => Promise<void>
  /** Stops following at once when aborted; throws the code of its reason when that is a {@link Failure}, else `callerGone`. */
  readonly signal?: AbortSignal
}

/** What {@link streamWhole} yields: once who started the run, then text, then one end. */
export type WholeEvent =
  | { readonly kind: 'started', readonly holder: string }
  | { readonly kind: 'text', readonly text: string }
  | { readonly kind: 'end', readonly end: AnswerEnd }

const CALLER_GONE = { code: 'callerGone', message: 'the caller went away' } as const

const RESUMABLE: readonly string[] = ['answerCut', 'runnerUnreachable']

function orThrow<T> (result: Either<Failure, T>): T {
  if (result.isLeft()) throw result.extract()
  return result.unsafeCoerce()
}

/** Follows one run over its connections. */
class RunFollower {
  private readonly assembler: AnswerAssembler
  private stream: EngineStream | undefined
  /** Whether the engine accepted the run. */
  private accepted = false
  /** Whether an earlier submit may have started the run. */
  private maybeStarted = false
  /** Whether a submit is under way or was made. */
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
    throw new Failure('answerCut', 'the stream stopped without an end', { ran: 'yes' })
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

  /** Waits before the next connection, or throws what the answer failed with. */
  private async beforeNext (failure: Failure, tries: number): Promise<void> {
    this.throwIfAborted()
    if (failure.ran !== 'no') this.maybeStarted = true
    if (!this.goesOn(failure) || tries >= this.options.resumes) throw this.conclude(failure)
    await this.untilAborted(this.options.pause(this.options.pauseMs))
  }

  private goesOn (failure: Failure): boolean {
    return RESUMABLE.includes(failure.code) && (this.accepted || this.maybeStarted)
  }

  /** A later refusal must not hide that an earlier connection reached the engine. */
  private conclude (failure: Failure): Failure {
    if (failure.code === 'answerMixed') return failure
    if (this.accepted) return new Failure('answerCut', `given up: ${failure.message}`, { ran: this.ranOnceAccepted(failure) })
    if (!this.maybeStarted || failure.ran !== 'no') return failure
    return new Failure(failure.code, failure.message, { ran: 'unknown', retryAfterMs: failure.retryAfterMs })
  }

  private ranOnceAccepted (failure: Failure): 'yes' | 'unknown' {
    return this.assembler.next > 0 || failure.ran === 'yes' ? 'yes' : 'unknown'
  }

  private throwIfAborted (): void {
    if (this.options.signal?.aborted === true) throw this.aborted(this.options.signal)
  }

  /** Waits for the work, but not beyond the abort. */
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
 * Runs a request on an engine and yields its whole answer. Closing the generator early closes
 * the connection and leaves the run to the engine. Throws {@link Failure}: those of
 * `EngineClient.submit`; `answerCut` when the stream broke and could not be resumed;
 * `answerMixed` when it brought what does not belong to the answer; when aborted, the reason or
 * `callerGone`, with `ran: no` only if nothing was sent.
 * @param client - the engine client
 * @param address - IPv4:port of the engine
 * @param req - the request
 * @param options - bounds and waiting
 */
export function streamWhole (
  client: EngineClient, address: string, req: EngineRequest, options: StreamWholeOptions
): AsyncGenerator<WholeEvent> {
  return new RunFollower(client, address, req, options).follow()
}
