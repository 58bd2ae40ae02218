/**
 * HTTP caller that records its requests and their outcomes.
 */
import got from 'got'
import * as z from 'zod'
import { executionStatusSchema } from '@rosemaryspread/decisions/codes/resultCodes.js'
import type { Outcome } from '../../history/history.js'
import type { HistoryRecord } from '../../history/historyTypes.js'
import type { Attempt, Refusal, RequestSpec } from './callerTypes.js'
import { SseReader } from './sseReader.js'

const REQUEST_TIMEOUT_MS = 60_000
const PROBLEM_TYPE = 'application/problem+json'

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

let attemptCount = 0

/** Sends requests and collects the history records of all attempts. */
export class TestCaller {
  readonly records: HistoryRecord[] = []
  readonly attempts: Attempt[] = []

  /**
   * Sends a request once; resolves when its outcome is recorded.
   * @param vm - name of the VM, for the record
   * @param baseUrl - its address for callers
   * @param onStart - called with the attempt before it is sent
   */
  async ask (spec: RequestSpec, vm: string, baseUrl: string, onStart: (attempt: Attempt) => void = () => {}): Promise<Attempt> {
    const attempt = this.startAttempt(spec, vm)
    onStart(attempt)
    try {
      await this.sendAndReceive(attempt, spec, baseUrl)
    } catch (err) {
      this.recordConnectionLoss(attempt, err)
    }
    return attempt
  }

  private startAttempt (spec: RequestSpec, vm: string): Attempt {
    const id = `ask${++attemptCount}`
    const requestId = spec.requestId ?? id
    const { team, digest, repeatable } = spec
    const asked = { kind: 'asked' as const, at: Date.now(), ask: id, requestId, team, digest, repeatable, vm }
    const attempt: Attempt = { asked, requestId, pieces: 0, text: '', refusal: undefined, outcome: undefined }
    this.records.push(asked)
    this.attempts.push(attempt)
    return attempt
  }

  private async sendAndReceive (attempt: Attempt, spec: RequestSpec, baseUrl: string): Promise<void> {
    const stream = got.stream.post(`${baseUrl}${spec.path}`, {
      body: spec.body,
      headers: createHeaders(spec),
      throwHttpErrors: false,
      decompress: false,
      retry: { limit: 0 },
      timeout: { request: REQUEST_TIMEOUT_MS }
    })
    let head: ResponseHead | undefined
    stream.on('response', (res: ResponseHead) => {
      head = res
      this.adoptRequestId(attempt, spec, res)
    })
    const chunks: Buffer[] = []
    const reader = new SseReader((event, data) => this.handleEvent(attempt, event, data))
    for await (const chunk of stream) {
      chunks.push(chunk as Buffer)
      if (spec.streamed && head?.statusCode === 200) reader.push((chunk as Buffer).toString('utf8'))
    }
    this.finishResponse(attempt, spec, head, Buffer.concat(chunks).toString('utf8'))
  }

  /** Adopts the request id that the VM assigned to a request without a key. */
  private adoptRequestId (attempt: Attempt, spec: RequestSpec, { headers }: ResponseHead): void {
    const id = headers['x-request-id']
    if (spec.requestId !== undefined || typeof id !== 'string') return
    attempt.requestId = id
    attempt.asked.requestId = id
  }

  private handleEvent (attempt: Attempt, event: string, data: string): void {
    if (attempt.outcome !== undefined) return
    if (event === 'error') this.refuse(attempt, problemSchema.parse(JSON.parse(data)))
    else if (data === '[DONE]') this.answer(attempt, true)
    else {
      const content = chunkSchema.parse(JSON.parse(data)).choices[0]!.delta.content ?? ''
      attempt.text += content
      if (content !== '') attempt.pieces++
    }
  }

  private finishResponse (attempt: Attempt, spec: RequestSpec, head: ResponseHead | undefined, body: string): void {
    if (attempt.outcome !== undefined || head === undefined) return
    if (String(head.headers['content-type']).startsWith(PROBLEM_TYPE)) {
      this.refuse(attempt, problemSchema.parse(JSON.parse(body)))
      return
    }
    if (!spec.streamed) attempt.text = body
    this.answer(attempt, !spec.streamed)
  }

  private answer (attempt: Attempt, whole: boolean): void {
    this.setOutcome(attempt, { kind: 'answered', at: Date.now(), ask: attempt.asked.ask, requestId: attempt.requestId, text: attempt.text, whole })
  }

  private refuse (attempt: Attempt, problem: Problem): void {
    const { code, name, status, ran, retryAfterMs } = problem
    const at = Date.now()
    if (attempt.text !== '') this.records.push({ kind: 'answered', at, ask: attempt.asked.ask, requestId: attempt.requestId, text: attempt.text, whole: false })
    attempt.refusal = { name, status, ran, retryAfterMs } satisfies Refusal
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs }
    this.setOutcome(attempt, { kind: 'refused', at, ask: attempt.asked.ask, requestId: attempt.requestId, code, ran, ...retry })
  }

  private recordConnectionLoss (attempt: Attempt, err: unknown): void {
    if (attempt.outcome !== undefined) return
    if (attempt.text !== '') {
      this.answer(attempt, false)
      return
    }
    const sent = (err as { code?: string }).code !== 'ECONNREFUSED'
    this.setOutcome(attempt, { kind: 'lost', at: Date.now(), ask: attempt.asked.ask, requestId: attempt.requestId, sent })
  }

  private setOutcome (attempt: Attempt, outcome: Outcome): void {
    attempt.outcome = outcome
    this.records.push(outcome)
  }
}

function createHeaders (spec: RequestSpec): Record<string, string> {
  return {
    'content-type': 'application/json',
    authorization: `Bearer ${spec.teamKey}`,
    ...(spec.idempotencyKey === undefined ? {} : { 'idempotency-key': spec.idempotencyKey }),
    ...(spec.timeoutMs === undefined ? {} : { 'x-timeout-ms': String(spec.timeoutMs) })
  }
}
