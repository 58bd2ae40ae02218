/**
 * Faulty engine clients: one treats a cut stream as complete, one treats every run as started by
 * this VM.
 */
import { Nothing, Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EngineClient, EngineEvent, EngineStream } from '@rosemaryspread/runners/engine/engineTypes.js'

const NO_USAGE = { promptTokens: 0, completionTokens: 0 }

/** Reports a cut stream as one that ended normally. */
export function cutIsWhole (engines: EngineClient): Partial<EngineClient> {
  return {
    submit: async (address, req) => mapEvents(await engines.submit(address, req), events => endAtCut(events, req.requestId))
  }
}

async function * endAtCut (events: AsyncIterable<EngineEvent>, requestId: string): AsyncIterable<EngineEvent> {
  try {
    for await (const event of events) yield event
  } catch {}
  yield { kind: 'end', requestId, end: { finishReason: 'stop', usage: NO_USAGE } }
}

/** Treats every run as one that this VM started. */
export function allRunsAreOurs (engines: EngineClient): Partial<EngineClient> {
  return {
    find: async () => Right(Nothing),
    submit: async (address, req) => (await engines.submit(address, req)).map(stream => ({
      holder: req.holder,
      events: stream.events,
      close: () => { stream.close() }
    }))
  }
}

function mapEvents (result: Either<Failure, EngineStream>, change: (events: AsyncIterable<EngineEvent>) => AsyncIterable<EngineEvent>): Either<Failure, EngineStream> {
  return result.map(stream => ({ holder: stream.holder, events: change(stream.events), close: () => { stream.close() } }))
}
