/**
 * Reads an engine's stream strictly. An event that does not belong to the answer, or a stream
 * that does not follow the protocol, ends the iteration with a {@link Failure}: `answerMixed`
 * for pieces of another answer, numbers out of order, a second end or a malformed event;
 * `answerCut` when the stream stops or stalls before its end. The end is handed on only after
 * `[DONE]`, and only if nothing follows it.
 */
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventSourceMessage } from 'eventsource-parser'
import { usageSchema, type AnswerEnd, type EngineEvent } from './engineTypes.js'

const DONE = '[DONE]'

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

/** Checks the events of one stream in order. Every method throws a {@link Failure} at the first one that does not fit. */
export class EngineEventCheck {
  private expected: number | undefined
  private finalEvents: readonly EngineEvent[] | undefined
  private done = false

  /**
   * @param requestId - the only id that may occur
   * @param from - piece number that was asked for; the stream may begin earlier when it was resumed, never later
   */
  constructor (private readonly requestId: string, private readonly from: number) {}

  /** Whether any event fitted, so that the run is known to have begun. */
  get begun (): boolean {
    return this.expected !== undefined
  }

  /** The end, with the last piece ahead of it if there is one; undefined until `[DONE]` came. */
  get whole (): readonly EngineEvent[] | undefined {
    return this.done ? this.finalEvents : undefined
  }

  /**
   * Takes the next event.
   * @param event - as parsed from the stream
   * @returns the piece to hand on, if it is one; pieces of the last event are kept for `whole`
   */
  accept (event: EventSourceMessage): EngineEvent | undefined {
    if (this.done) throw this.mixed('an event follows the end')
    if (event.data === DONE) return this.finish()
    if (this.finalEvents !== undefined) throw this.mixed('an event follows the last one')
    const wire = this.parse(event.data)
    const sequence = this.sequenceOf(event)
    return this.toEvent(wire, sequence)
  }

  /**
   * Failure for a stream that stopped here.
   * @param detail - how it stopped
   */
  cut (detail: string): Failure {
    return new Failure('answerCut', detail, { ran: this.begun ? 'yes' : 'unknown' })
  }

  /**
   * Failure for a stream that does not follow the protocol.
   * @param detail - what does not fit
   */
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
      throw this.mixed('an event is no JSON')
    }
    const parsed = wireEventSchema.safeParse(value)
    if (!parsed.success) throw this.mixed(`an event does not fit: ${parsed.error.issues[0]?.message ?? ''}`)
    if (parsed.data.id !== this.requestId) throw this.mixed('an event belongs to another request')
    return parsed.data
  }

  private sequenceOf (event: EventSourceMessage): number {
    const sequence = /^\d+$/.test(event.id ?? '') ? Number(event.id) : NaN
    const fits = this.expected === undefined ? sequence <= this.from : sequence === this.expected
    if (!fits) throw this.mixed(`event ${event.id ?? 'without a number'} where ${this.expected ?? this.from} was due`)
    this.expected = sequence + 1
    return sequence
  }

  private toEvent (wire: WireEvent, sequence: number): EngineEvent | undefined {
    const choice = wire.choices[0]
    const text = choice?.delta.content ?? ''
    const finishReason = choice?.finish_reason ?? null
    const piece: EngineEvent = { kind: 'piece', piece: { requestId: this.requestId, sequence, text } }
    if (finishReason === null) return piece
    if (sequence < this.from) throw this.mixed('the answer ends before the piece that was asked for')
    const end = this.toEnd(finishReason, wire.usage)
    this.finalEvents = [...(text === '' ? [] : [piece]), { kind: 'end', requestId: this.requestId, end }]
    return undefined
  }

  private toEnd (finishReason: AnswerEnd['finishReason'], usage: unknown): AnswerEnd {
    const parsed = wireUsageSchema.safeParse(usage)
    if (!parsed.success) throw this.mixed('the usage is missing or no whole number')
    return { finishReason, usage: parsed.data }
  }
}
