/**
 * Event stream of an engine over HTTP. The iteration yields validated events or throws a {@link Failure}.
 */
import type { Request } from 'got'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { EngineEventValidator } from './engineEvents.js'
import { EventReader, type EventBatch } from './eventReader.js'
import type { EngineEvent, EngineStream, StreamLoad } from './engineTypes.js'

/** Timeouts of a stream. */
export interface StreamLimits {
  readonly firstEventMs: number
  readonly betweenEventsMs: number
  /** Time for the engine to close the stream after its end. */
  readonly afterEndMs: number
}

/** Run and position of a stream. */
export interface StreamContext {
  readonly requestId: string
  /** Requested piece number. */
  readonly from: number
  /** Holder that started the run. */
  readonly holder: string
  readonly load?: StreamLoad
}

/** The events can be iterated only once. */
export class HttpEngineStream implements EngineStream {
  readonly holder: string
  readonly load?: StreamLoad
  readonly events: AsyncIterable<EngineEvent>
  private readonly validator: EngineEventValidator
  private readonly reader: EventReader

  constructor (private readonly req: Request, context: StreamContext, private readonly limits: StreamLimits) {
    this.holder = context.holder
    if (context.load !== undefined) this.load = context.load
    this.validator = new EngineEventValidator(context.requestId, context.from)
    this.reader = new EventReader(req)
    this.events = this.readEvents()
  }

  close (): void {
    this.req.destroy()
  }

  private async * readEvents (): AsyncGenerator<EngineEvent> {
    try {
      while (this.validator.whole === undefined) {
        const batch = await this.nextBatch()
        if (batch.ended) throw this.validator.cut('the stream ended before [DONE]')
        for (const event of batch.events) {
          const checked = this.validator.accept(event)
          if (checked !== undefined) yield checked
        }
      }
      await this.expectStreamEnd()
      yield * this.validator.whole
    } finally {
      this.close()
    }
  }

  private async nextBatch (): Promise<EventBatch> {
    const timeoutMs = this.validator.isRunStarted ? this.limits.betweenEventsMs : this.limits.firstEventMs
    try {
      return await this.reader.next(timeoutMs)
    } catch (err) {
      if (err instanceof TypeError) throw this.validator.mixed('the stream is not UTF-8')
      throw this.validator.cut(err instanceof Error ? err.message : String(err))
    }
  }

  /** After `[DONE]` the stream must close. If it breaks or stays open instead, the answer is complete nevertheless. */
  private async expectStreamEnd (): Promise<void> {
    const batch = await this.reader.next(this.limits.afterEndMs).catch((): EventBatch => ({ events: [], ended: true }))
    if (batch.events.length > 0) throw this.validator.mixed('event after the end of the stream')
  }
}

/** Converts anything thrown while iterating over events to a failure. */
export function toStreamFailure (err: unknown): Failure {
  if (err instanceof Failure) return err
  return new Failure('answerCut', err instanceof Error ? err.message : String(err), { ran: 'unknown' })
}
