/**
 * One request at one target: sends it, relays the answer, and says how it ended. An answer that is
 * not streamed is read whole first, so that one that breaks on the way can be asked for again.
 */
import { failureOf, Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { EventRelay } from './eventRelay.js'
import type { AnswerHead, CallSink, TargetAnswer, TargetClient, TargetRequest } from './callTypes.js'

/** Largest answer that is read whole, in bytes. */
const MAX_WHOLE_BYTES = 16 * 1024 * 1024
const FIRST_SUCCESS = 200
const FIRST_REDIRECT = 300
const FIRST_ERROR_STATUS = 500

/** How an attempt ended. */
export type AttemptEnd =
  /** The whole answer was relayed. */
  | { readonly kind: 'answered', readonly status: number }
  /** The target answered with a failure of its own, which nobody was sent yet. */
  | { readonly kind: 'failedAnswer', readonly head: AnswerHead, readonly body: Buffer }
  /** The target proved that it did not run the request. */
  | { readonly kind: 'notRun', readonly failure: Failure }
  /** The request may have run. */
  | { readonly kind: 'broken', readonly failure: Failure }

/** What an attempt works with. */
export interface AttemptParts {
  readonly client: TargetClient
  readonly sink: CallSink
  readonly relay: EventRelay
  readonly streamed: boolean
  /** Whether a failure that the target answered may be asked for again elsewhere. */
  readonly repeatsFailures: boolean
  /** Told when the first event, or the whole answer, was passed on. */
  readonly onFirst: () => void
  /** Told what the target says of itself, whatever becomes of the attempt. */
  readonly onReport: (report: TargetReport) => void
}

/**
 * Runs an attempt to its end; it never throws.
 * @param parts - what it works with
 * @param req - the request
 * @param stop - aborted when the caller left or the time is over
 */
export async function runAttempt (parts: AttemptParts, req: TargetRequest, stop: AbortSignal): Promise<AttemptEnd> {
  try {
    const sent = await parts.client.send(req, stop, parts.onReport)
    return await sent.caseOf<Promise<AttemptEnd>>({
      Left: async failure => failure.ran === 'no' ? { kind: 'notRun', failure } : { kind: 'broken', failure },
      Right: async answer => await relayAnswer(parts, answer)
    })
  } catch (err) {
    return { kind: 'broken', failure: toFailure(err) }
  }
}

async function relayAnswer (parts: AttemptParts, answer: TargetAnswer): Promise<AttemptEnd> {
  const isStream = parts.streamed && isSuccess(answer.head.status)
  return isStream ? await relayStream(parts, answer) : await relayWhole(parts, answer)
}

/**
 * Whether a status says that the request ran and was served.
 * @param status - status of an answer
 */
export function isSuccess (status: number): boolean {
  return status >= FIRST_SUCCESS && status < FIRST_REDIRECT
}

async function relayWhole ({ sink, repeatsFailures, onFirst }: AttemptParts, answer: TargetAnswer): Promise<AttemptEnd> {
  const pieces: Buffer[] = []
  let size = 0
  const read = await answer.read(bytes => {
    size += bytes.length
    if (size > MAX_WHOLE_BYTES) throw new Failure('answerCut', `the answer exceeds ${MAX_WHOLE_BYTES} bytes`, { ran: 'yes' })
    pieces.push(bytes)
    return undefined
  })
  const failure = failureOf(read)
  if (failure !== undefined) return { kind: 'broken', failure }
  const body = Buffer.concat(pieces)
  if ((answer.head.status >= FIRST_ERROR_STATUS && repeatsFailures) || sink.begun) return { kind: 'failedAnswer', head: answer.head, body }
  onFirst()
  sink.whole(answer.head, body)
  return { kind: 'answered', status: answer.head.status }
}

/** The head goes out with the first event: until then another target may be tried. */
async function relayStream ({ sink, relay, onFirst }: AttemptParts, answer: TargetAnswer): Promise<AttemptEnd> {
  const read = await answer.read(bytes => {
    const whole = relay.take(bytes)
    if (whole.length === 0) return undefined
    if (!sink.begun) {
      onFirst()
      sink.head(answer.head)
    }
    return sink.piece(whole)
  })
  const failure = failureOf(read)
  if (failure === undefined && relay.hasRest) return brokenInside(relay)
  if (failure !== undefined) {
    relay.drop()
    return { kind: 'broken', failure }
  }
  if (!sink.begun) sink.head(answer.head)
  sink.end()
  return { kind: 'answered', status: answer.head.status }
}

function brokenInside (relay: EventRelay): AttemptEnd {
  relay.drop()
  return { kind: 'broken', failure: new Failure('answerCut', 'the stream ended inside an event', { ran: 'yes' }) }
}
