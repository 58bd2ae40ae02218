/**
 * Buffers of answers that are not streamed, bounded for each answer and for all together: targets choose the size of their answers,
 * and many large ones at the same time would exhaust the memory of the VM. Bytes count until the caller has received them.
 */
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { ByteBudget } from './byteBudget.js'
import { ByteChunks } from './byteChunks.js'
import type { AnswerHead, CallSink } from './callTypes.js'

/** Largest answer that is buffered. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024

/** Buffers of all answers of one VM. */
export class AnswerBuffers {
  private readonly budget: ByteBudget

  /** @param maxBytes - limit of all buffers together */
  constructor (maxBytes = Infinity) {
    this.budget = new ByteBudget(maxBytes)
  }

  /** Bytes that are buffered. */
  get heldBytes (): number {
    return this.budget.heldBytes
  }

  /** Opens the buffer of one answer. */
  open (): AnswerBuffer {
    return new AnswerBuffer(this.budget)
  }
}

/** Buffer of one answer; ended by either `sendTo` or `discard`. */
export class AnswerBuffer {
  private readonly chunks = new ByteChunks()
  /** Bytes that count, also while they are being sent. */
  private size = 0
  private isSending = false

  constructor (private readonly all: ByteBudget) {}

  /** Throws if a limit is exceeded. */
  append (bytes: Buffer): void {
    if (this.size + bytes.length > MAX_BUFFERED_BYTES) throw cutFailure(`the answer exceeds the limit of ${MAX_BUFFERED_BYTES} bytes`)
    if (!this.all.tryHold(bytes.length)) throw cutFailure('the answers that are being buffered exceed their limit together')
    this.size += bytes.length
    this.chunks.append(bytes)
  }

  /** Sends the bytes as the body of a complete answer; they count until the sink has sent them. */
  sendTo (sink: CallSink, head: AnswerHead): void {
    const body = this.chunks.take()
    this.isSending = true
    const release = (): void => { this.release() }
    try {
      const sent = sink.whole(head, body)
      if (sent === undefined) release()
      else sent.then(release, release)
    } catch (err) {
      release()
      throw err
    }
  }

  /** Drops the bytes unless they are being sent. */
  discard (): void {
    if (!this.isSending) this.release()
  }

  private release (): void {
    this.all.release(this.size)
    this.size = 0
    this.chunks.clear()
  }
}

function cutFailure (detail: string): Failure {
  return new Failure('answerCut', detail, { ran: 'yes' })
}
