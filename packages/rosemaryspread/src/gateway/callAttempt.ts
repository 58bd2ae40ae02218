/**
 * One attempt at one target: sends the request, relays the answer and classifies the outcome. Answers that
 * are not streamed are buffered, so that an answer that breaks off can be requested again.
 */
import { failureOf, Failure, mayHaveRun, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { attemptProof } from '@rosemaryspread/decisions/gateway/executionProof.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { AnswerBuffer, AnswerBuffers } from './answerBuffers.js'
import type { EventRelay } from './eventRelay.js'
import type { AnswerHead, CallSink, TargetAnswer, TargetClient, TargetRequest } from './callTypes.js'

const MIN_SUCCESS_STATUS = 200
const MIN_REDIRECT_STATUS = 300
const MIN_SERVER_ERROR_STATUS = 500

/** Headers of which an answer has one unless it ends with its connection. */
const delimitingHeaders = new Set(['content-length', 'transfer-encoding'])

export type AttemptOutcome =
  /** The complete answer was relayed. */
  | { readonly kind: 'answered', readonly status: number, readonly isDelimited: boolean }
  /** The target answered with a server error, which has not been relayed. */
  | { readonly kind: 'failedAnswer', readonly head: AnswerHead, readonly buffer: AnswerBuffer }
  /** The target proved that it did not run the request. */
  | { readonly kind: 'notRun', readonly failure: Failure }
  /** The request may have run; the failure never says otherwise. */
  | { readonly kind: 'broken', readonly failure: Failure }

export interface AttemptParts {
  readonly client: TargetClient
  readonly sink: CallSink
  readonly relay: EventRelay
  readonly buffers: AnswerBuffers
  readonly streamed: boolean
  /** Whether a server error of the target may be retried at another target. */
  readonly retriesFailures: boolean
  /** Called when the first event, or the complete answer, was relayed. */
  readonly onFirstOutput: () => void
  /** Called with the state that the target reports about itself, whatever the outcome of the attempt. */
  readonly onReport: (report: TargetReport) => void
}

/**
 * Runs an attempt to its end; never throws.
 * @param stop - aborted when the caller has disconnected or the deadline has passed
 */
export async function runAttempt (parts: AttemptParts, req: TargetRequest, stop: AbortSignal): Promise<AttemptOutcome> {
  try {
    const sent = await parts.client.send(req, stop, parts.onReport)
    return await sent.caseOf<Promise<AttemptOutcome>>({
      Left: async failure => attemptProof(failure.code, failure.ran) === undefined ? broken(failure) : { kind: 'notRun', failure },
      Right: async answer => await relayAnswer(parts, answer)
    })
  } catch (err) {
    return broken(toFailure(err))
  }
}

async function relayAnswer (parts: AttemptParts, answer: TargetAnswer): Promise<AttemptOutcome> {
  const isStream = parts.streamed && isSuccess(answer.head.status)
  return isStream ? await relayStream(parts, answer) : await relayBuffered(parts, answer)
}

/** Whether a status means that the request ran successfully. */
export function isSuccess (status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS
}

/** Whether the end of an answer is marked; otherwise it ends with its connection. */
function isDelimited ({ headers }: AnswerHead): boolean {
  return headers.some(([name]) => delimitingHeaders.has(name.toLowerCase()))
}

async function relayBuffered ({ sink, buffers, retriesFailures: mayRetryFailures, onFirstOutput: notifyFirstOutput }: AttemptParts, answer: TargetAnswer): Promise<AttemptOutcome> {
  const buffer = buffers.open()
  const failure = await fill(buffer, answer)
  if (failure !== undefined) {
    buffer.discard()
    return broken(failure)
  }
  if ((answer.head.status >= MIN_SERVER_ERROR_STATUS && mayRetryFailures) || sink.isStarted) return { kind: 'failedAnswer', head: answer.head, buffer }
  notifyFirstOutput()
  buffer.sendTo(sink, answer.head)
  return { kind: 'answered', status: answer.head.status, isDelimited: isDelimited(answer.head) }
}

async function fill (buffer: AnswerBuffer, answer: TargetAnswer): Promise<Failure | undefined> {
  try {
    return failureOf(await answer.read(bytes => {
      buffer.append(bytes)
      return undefined
    }))
  } catch (err) {
    return toFailure(err)
  }
}

/** Sends the head together with the first event; until then another target can be tried. */
async function relayStream ({ sink, relay, onFirstOutput: notifyFirstOutput }: AttemptParts, answer: TargetAnswer): Promise<AttemptOutcome> {
  const read = await answer.read(bytes => {
    const completeEvents = relay.push(bytes)
    if (completeEvents.length === 0) return undefined
    if (!sink.isStarted) {
      notifyFirstOutput()
      sink.head(answer.head)
    }
    return sink.chunk(completeEvents)
  })
  const failure = failureOf(read)
  if (failure === undefined && relay.hasPartialEvent) return truncatedOutcome(relay)
  if (failure !== undefined) {
    relay.discardPartial()
    return broken(failure)
  }
  if (!sink.isStarted) sink.head(answer.head)
  sink.end()
  return { kind: 'answered', status: answer.head.status, isDelimited: isDelimited(answer.head) }
}

/** Only certain failures to send prove that nothing ran: any other one, and any later one, may be about another call or part. */
function broken (failure: Failure): AttemptOutcome {
  return { kind: 'broken', failure: mayHaveRun(failure) }
}

function truncatedOutcome (relay: EventRelay): AttemptOutcome {
  relay.discardPartial()
  return broken(new Failure('answerCut', 'the stream ended within an event', { ran: 'yes' }))
}
