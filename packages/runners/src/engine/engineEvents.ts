/**
 * Validates the events of an engine's stream. Violations throw a {@link Failure}: `answerMixed`
 * for pieces of another answer, numbers out of order, a second end or a malformed event;
 * `answerCut` when the stream stops or stalls before its end. The end is passed on only after
 * `[DONE]`, and only if nothing follows it.
 */
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventSourceMessage } from 'eventsource-parser'
import { usageSchema, type AnswerEnd, type EngineEvent } from './engineTypes.js'

const DONE_DATA = '[DONE]'

const wireUsageSchema = z
  .object({ prompt_tokens: usageSchema.shape.promptTokens, completion_tokens: usageSchema.shape.completionTokens })
  .transform(usage => ({ promptTokens: usage.prompt_tokens, completionTokens: usage.completion_tokens }))

const wireEventSchema = z.object({
  id: z.string(),
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }),
    finish_reason: z.enum(['stop', 'length']).nullable()
  })).length(1),
  usage: z.unknown().optional()
})
type WireEvent = z.infer<typeof wireEventSchema>

/** Validates the events of one stream in order; throws a {@link Failure} at the first invalid one. */
export class EngineEventValidator {
  private expectedSequence: number | undefined
  private finalEvents: readonly EngineEvent[] | undefined
  private done = false

  /** @param from - requested piece number; a resumed stream may start earlier, never later */
  constructor (private readonly requestId: string, private readonly from: number) {}

  /** Whether a valid event was received, which proves that the run was started. */
  get isRunStarted (): boolean {
    return this.expectedSequence !== undefined
  }

  /** The end, preceded by the last piece if its event had text; undefined before `[DONE]`. */
  get whole (): readonly EngineEvent[] | undefined {
    return this.done ? this.finalEvents : undefined
  }

  /**
   * Validates the next event.
   * @returns the piece to pass on, if any; a piece of the last event is held back for `whole`
   */
  accept (event: EventSourceMessage): EngineEvent | undefined {
    if (this.done) throw this.mixed('event after the end of the stream')
    if (event.data === DONE_DATA) return this.finish()
    if (this.finalEvents !== undefined) throw this.mixed('event after the last event')
    const wire = this.parse(event.data)
    const sequence = this.checkSequence(event)
    return this.toEvent(wire, sequence)
  }

  /** Failure for a stream that stopped early. */
  cut (detail: string): Failure {
    return new Failure('answerCut', detail, { ran: this.isRunStarted ? 'yes' : 'unknown' })
  }

  /** Failure for a stream that violates the protocol. */
  mixed (detail: string): Failure {
    return new Failure('answerMixed', detail, { ran: 'yes' })
  }

  private finish (): undefined {
    if (this.finalEvents === undefined) throw this.cut('the stream ended without its last event')
    this.done = true
  }

  private parse (data: string): WireEvent {
    let value: unknown
    try {
      value = JSON.parse(data)
    } catch {
      throw this.mixed('event is not valid JSON')
    }
    const parsed = wireEventSchema.safeParse(value)
    if (!parsed.success) throw this.mixed(`invalid event: ${parsed.error.issues[0]?.message ?? ''}`)
    if (parsed.data.id !== this.requestId) throw this.mixed('event of a different request')
    return parsed.data
  }

  private checkSequence (event: EventSourceMessage): number {
    const sequence = /^\d+$/.test(event.id ?? '') ? Number(event.id) : NaN
    const isExpected = this.expectedSequence === undefined ? sequence <= this.from : sequence === this.expectedSequence
    if (!isExpected) throw this.mixed(`event ${event.id ?? 'without a number'} received, expected ${this.expectedSequence ?? this.from}`)
    this.expectedSequence = sequence + 1
    return sequence
  }

  private toEvent (wire: WireEvent, sequence: number): EngineEvent | undefined {
    const choice = wire.choices[0]
    const text = choice?.delta.content ?? ''
    const finishReason = choice?.finish_reason ?? null
    const piece: EngineEvent = { kind: 'piece', piece: { requestId: this.requestId, sequence, text } }
    if (finishReason === null) return piece
    if (sequence < this.from) throw this.mixed('the answer ends before the requested piece')
    const end = this.toEnd(finishReason, wire.usage)
    this.finalEvents = [...(text === '' ? [] : [piece]), { kind: 'end', requestId: this.requestId, end }]
    return undefined
  }

  private toEnd (finishReason: AnswerEnd['finishReason'], usage: unknown): AnswerEnd {
    const parsed = wireUsageSchema.safeParse(usage)
    if (!parsed.success) throw this.mixed('the usage is missing or not a non-negative integer')
    return { finishReason, usage: parsed.data }
  }
}
