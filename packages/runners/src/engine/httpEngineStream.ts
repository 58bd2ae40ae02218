/**
 * An engine's answer as it arrives over HTTP: strictly checked events, or a {@link Failure}
 * thrown from the iteration.
 */
import type { Request } from 'got'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { EngineEventCheck } from './engineEvents.js'
import { EventReader, type EventBatch } from './eventReader.js'
import type { EngineEvent, EngineStream, StreamLoad } from './engineTypes.js'

/** Limits of a stream, in milliseconds. */
export interface StreamLimits {
  readonly firstEventMs: number
  readonly betweenEventsMs: number
  /** How long the engine may take to close the stream after its end. */
  readonly afterEndMs: number
}

/** What the stream answers. */
export interface StreamSubject {
  readonly requestId: string
  /** Piece number that was asked for. */
  readonly from: number
  /** Holder that started the run. */
  readonly holder: string
  readonly load?: StreamLoad
}

/** One stream. The events can be iterated once. */
export class HttpEngineStream implements EngineStream {
  readonly holder: string
  readonly load?: StreamLoad
  readonly events: AsyncIterable<EngineEvent>
  private readonly check: EngineEventCheck
  private readonly reader: EventReader

  constructor (private readonly req: Request, subject: StreamSubject, private readonly limits: StreamLimits) {
    this.holder = subject.holder
    if (subject.load !== undefined) this.load = subject.load
    this.check = new EngineEventCheck(subject.requestId, subject.from)
    this.reader = new EventReader(req)
    this.events = this.read()
  }

  close (): void {
    this.req.destroy()
  }

  private async * read (): AsyncGenerator<EngineEvent> {
    try {
      while (this.check.whole === undefined) {
        const batch = await this.nextBatch()
        if (batch.ended) throw this.check.cut('the stream ended before [DONE]')
        for (const event of batch.events) {
          const checked = this.check.accept(event)
          if (checked !== undefined) yield checked
        }
      }
      await this.expectNothing()
      yield * this.check.whole
    } finally {
      this.close()
    }
  }

  private async nextBatch (): Promise<EventBatch> {
    const timeoutMs = this.check.begun ? this.limits.betweenEventsMs : this.limits.firstEventMs
    try {
      return await this.reader.next(timeoutMs)
    } catch (err) {
      if (err instanceof TypeError) throw this.check.mixed('the stream is not UTF-8')
      throw this.check.cut(err instanceof Error ? err.message : String(err))
    }
  }

  /** After `[DONE]` the stream has to close; when it breaks or stays open the answer is whole all the same. */
  private async expectNothing (): Promise<void> {
    const batch = await this.reader.next(this.limits.afterEndMs).catch((): EventBatch => ({ events: [], ended: true }))
    if (batch.events.length > 0) throw this.check.mixed('an event follows the end')
  }
}

/**
 * Turns anything thrown by an iteration of events into a failure.
 * @param err - what was thrown
 */
export function toStreamFailure (err: unknown): Failure {
  if (err instanceof Failure) return err
  return new Failure('answerCut', err instanceof Error ? err.message : String(err), { ran: 'unknown' })
}
