/**
 * One SSE response that follows a run. It writes the pieces generated so far, from the requested one on, then
 * each new piece.
 */
import type { ServerResponse } from 'node:http'
import type { StreamFaults } from './engineFaults.js'
import type { EngineRun, RunListener } from './engineRun.js'

const MIXED_PIECE_INDEX = 1
const DONE = 'data: [DONE]\n\n'

export class EngineStream implements RunListener {
  private readonly eventPrefix: string

  /** @param load - value of the `x-engine-load` header */
  constructor (private readonly run: EngineRun, private readonly res: ServerResponse, private readonly faults: StreamFaults, private readonly load: string) {
    this.eventPrefix = formatEventPrefix(run.req.requestId, run.req.model)
  }

  /**
   * Writes the headers and the pieces generated so far, then follows the run.
   * @param from - index of the first piece
   */
  open (from: number): void {
    const holder = this.run.req.holder
    this.res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-run-holder': holder, 'x-engine-load': this.load })
    this.res.flushHeaders()
    for (let index = from; index < this.run.generated; index++) this.piece(index)
    if (this.run.state !== 'running') {
      this.ended()
      return
    }
    this.run.listeners.add(this)
    this.res.once('close', () => this.run.listeners.delete(this))
  }

  piece (index: number): void {
    if (index === MIXED_PIECE_INDEX && this.faults.consumeMix()) this.res.write(this.pieceOfOtherRun(index))
    this.res.write(`id: ${index}\n${this.eventPrefix}${JSON.stringify(this.run.answer.pieces[index])}},"finish_reason":null}]}\n\n`)
  }

  ended (): void {
    if (this.run.state === 'finished') this.writeEnd()
    this.res.end()
  }

  lost (): void {
    this.res.destroy()
  }

  private writeEnd (): void {
    const { answer: { pieces, finishReason }, usage } = this.run
    const reported = JSON.stringify({ prompt_tokens: usage.promptTokens, completion_tokens: usage.completionTokens })
    const end = `id: ${pieces.length}\n${this.eventPrefix}""},"finish_reason":"${finishReason}"}],"usage":${reported}}\n\n`
    if (this.faults.consumeDoubleEnd()) this.res.write(`${end}${DONE}`)
    this.res.write(`${end}${DONE}`)
  }

  /** A piece with the id of another run. */
  private pieceOfOtherRun (index: number): string {
    const otherPrefix = formatEventPrefix(`foreign-${this.run.req.requestId}`, this.run.req.model)
    return `id: ${index}\n${otherPrefix}"ajeno "},"finish_reason":null}]}\n\n`
  }
}

/** The data of an event, up to the content. */
function formatEventPrefix (requestId: string, model: string): string {
  return `data: {"id":${JSON.stringify(requestId)},"model":${JSON.stringify(model)},"choices":[{"index":0,"delta":{"content":`
}
