/**
 * HTTP caller that records its requests and their outcomes.
 */
import got from 'got'
import * as z from 'zod'
import { executionStatusSchema } from '@rosemaryspread/decisions/codes/resultCodes.js'
import type { Outcome } from '../../history/history.js'
import type { HistoryRecord } from '../../history/historyTypes.js'
import type { Ask, Refusal, RequestSpec } from './callerTypes.js'
import { SseReader } from './sseReader.js'

const ASK_LIMIT_MS = 60_000
const PROBLEM = 'application/problem+json'

const problemSchema = z.object({
  code: z.string(),
  name: z.string(),
  status: z.number(),
  ran: executionStatusSchema,
  retryAfterMs: z.number().optional()
})
type Problem = z.infer<typeof problemSchema>

const chunkSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }),
    finish_reason: z.string().nullable()
  })).min(1)
})

interface ResponseHead {
  readonly statusCode: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

let asks = 0

/** Sends requests and collects the history records of all attempts. */
export class TestCaller {
  readonly records: HistoryRecord[] = []
  readonly asks: Ask[] = []

  /**
   * Sends a request once; resolves when its outcome is recorded.
   * @param vm - name of the VM, for the record
   * @param baseUrl - its address for callers
   * @param onStart - called with the attempt before it is sent
   */
  async ask (spec: RequestSpec, vm: string, baseUrl: string, begun: (ask: Ask) => void = () => {}): Promise<Ask> {
    const ask = this.begin(spec, vm)
    begun(ask)
    try {
      await this.receive(ask, spec, baseUrl)
    } catch (err) {
      this.lose(ask, err)
    }
    return ask
  }

  private begin (spec: RequestSpec, vm: string): Ask {
    const id = `ask${++asks}`
    const requestId = spec.requestId ?? id
    const { team, digest, repeatable } = spec
    const asked = { kind: 'asked' as const, at: Date.now(), ask: id, requestId, team, digest, repeatable, vm }
    const ask: Ask = { asked, requestId, pieces: 0, text: '', refusal: undefined, outcome: undefined }
    this.records.push(asked)
    this.asks.push(ask)
    return ask
  }

  private async receive (ask: Ask, spec: RequestSpec, baseUrl: string): Promise<void> {
    const stream = got.stream.post(`${baseUrl}${spec.path}`, {
      body: spec.body,
      headers: headersOf(spec),
      throwHttpErrors: false,
      decompress: false,
      retry: { limit: 0 },
      timeout: { request: ASK_LIMIT_MS }
    })
    let head: ResponseHead | undefined
    stream.on('response', (res: ResponseHead) => {
      head = res
      this.identify(ask, spec, res)
    })
    const parts: Buffer[] = []
    const reader = new SseReader((event, data) => this.take(ask, event, data))
    for await (const part of stream) {
      parts.push(part as Buffer)
      if (spec.streamed && head?.statusCode === 200) reader.push((part as Buffer).toString('utf8'))
    }
    this.finish(ask, spec, head, Buffer.concat(parts).toString('utf8'))
  }

  /** Adopts the request id that the VM assigned to a request without a key. */
  private identify (ask: Ask, spec: RequestSpec, { headers }: ResponseHead): void {
    const id = headers['x-request-id']
    if (spec.requestId !== undefined || typeof id !== 'string') return
    ask.requestId = id
    ask.asked.requestId = id
  }

  private take (ask: Ask, event: string, data: string): void {
    if (ask.outcome !== undefined) return
    if (event === 'error') this.refuse(ask, problemSchema.parse(JSON.parse(data)))
    else if (data === '[DONE]') this.answer(ask, true)
    else {
      const content = chunkSchema.parse(JSON.parse(data)).choices[0]!.delta.content ?? ''
      ask.text += content
      if (content !== '') ask.pieces++
    }
  }

  private finish (ask: Ask, spec: RequestSpec, head: ResponseHead | undefined, body: string): void {
    if (ask.outcome !== undefined || head === undefined) return
    if (String(head.headers['content-type']).startsWith(PROBLEM)) {
      this.refuse(ask, problemSchema.parse(JSON.parse(body)))
      return
    }
    if (!spec.streamed) ask.text = body
    this.answer(ask, !spec.streamed)
  }

  private answer (ask: Ask, whole: boolean): void {
    this.end(ask, { kind: 'answered', at: Date.now(), ask: ask.asked.ask, requestId: ask.requestId, text: ask.text, whole })
  }

  private refuse (ask: Ask, problem: Problem): void {
    const { code, name, status, ran, retryAfterMs } = problem
    const at = Date.now()
    if (ask.text !== '') this.records.push({ kind: 'answered', at, ask: ask.asked.ask, requestId: ask.requestId, text: ask.text, whole: false })
    ask.refusal = { name, status, ran, retryAfterMs } satisfies Refusal
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs }
    this.end(ask, { kind: 'refused', at, ask: ask.asked.ask, requestId: ask.requestId, code, ran, ...retry })
  }

  private lose (ask: Ask, err: unknown): void {
    if (ask.outcome !== undefined) return
    if (ask.text !== '') {
      this.answer(ask, false)
      return
    }
    const sent = (err as { code?: string }).code !== 'ECONNREFUSED'
    this.end(ask, { kind: 'lost', at: Date.now(), ask: ask.asked.ask, requestId: ask.requestId, sent })
  }

  private end (ask: Ask, outcome: Outcome): void {
    ask.outcome = outcome
    this.records.push(outcome)
  }
}

function headersOf (spec: RequestSpec): Record<string, string> {
  return {
    'content-type': 'application/json',
    authorization: `Bearer ${spec.teamKey}`,
    ...(spec.idempotencyKey === undefined ? {} : { 'idempotency-key': spec.idempotencyKey }),
    ...(spec.timeoutMs === undefined ? {} : { 'x-timeout-ms': String(spec.timeoutMs) })
  }
}
