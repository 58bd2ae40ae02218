/**
 * Guards against a VM that ends because targets send many large answers at the same time.
 */
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { AnswerBuffers } from './answerBuffers.js'
import { runAttempt, type AttemptOutcome } from './callAttempt.js'
import type { AnswerHead, CallSink, TargetAnswer, TargetRequest } from './callTypes.js'
import { EventRelay } from './eventRelay.js'

const LIMIT_BYTES = 100
const OK = 200
const FAILED = 500
const CUT = 'answerCut yes'
const cut = new Failure('answerCut', 'reset', { ran: 'yes' })

/** An answer whose bytes are delivered by hand. */
class ManualAnswer implements TargetAnswer {
  readonly head: AnswerHead
  private onBytes: (bytes: Buffer) => unknown = () => {}
  private resolve: (read: Either<Failure, void>) => void = () => {}
  private reject: (err: unknown) => void = () => {}

  constructor (status: number) {
    this.head = { status, headers: [] }
  }

  read (onBytes: (bytes: Buffer) => unknown): Promise<Either<Failure, void>> {
    this.onBytes = onBytes
    return new Promise((resolve, reject) => {
      this.resolve = resolve
      this.reject = reject
    })
  }

  push (size: number): void {
    try {
      this.onBytes(Buffer.alloc(size))
    } catch (err) {
      this.reject(err)
    }
  }

  end (read: Either<Failure, void> = Right(undefined)): void {
    this.resolve(read)
  }
}

/** A sink whose caller reads when told to. */
class ManualSink implements CallSink {
  isStarted = false
  sent: () => void = () => {}
  /** @param wholeFails - whether sending an answer throws */
  constructor (private readonly wholeFails = false) {}
  whole (): Promise<void> {
    if (this.wholeFails) throw new Error('invalid header')
    return new Promise(resolve => { this.sent = resolve })
  }

  head (): void {}
  chunk (): undefined {}
  end (): void {}
  cut (): void {}
  refuse (): void {}
}

interface OpenAttempt {
  readonly answer: ManualAnswer
  readonly sink: ManualSink
  readonly outcome: Promise<AttemptOutcome>
}

async function turn (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}

describe('AnswerBuffers', () => {
  let buffers: AnswerBuffers
  beforeEach(() => { buffers = new AnswerBuffers(LIMIT_BYTES) })

  async function start (status = OK, sink = new ManualSink()): Promise<OpenAttempt> {
    const answer = new ManualAnswer(status)
    const client = { send: async () => Right<TargetAnswer, Failure>(answer) }
    const outcome = runAttempt({ client, sink, relay: new EventRelay(), buffers, streamed: false, retriesFailures: true, onFirstOutput: () => {}, onReport: () => {} }, {} as TargetRequest, new AbortController().signal)
    await turn()
    return { answer, sink, outcome }
  }

  async function resultOf ({ outcome }: OpenAttempt): Promise<string> {
    const result = await outcome
    return result.kind === 'broken' ? `${result.failure.code} ${result.failure.ran}` : result.kind
  }

  /** Whether all bytes can be held again. */
  async function isEmpty (): Promise<boolean> {
    await turn()
    return buffers.heldBytes === 0
  }

  it('cuts the answer that exceeds the limit of all together, and completes the others', async () => {
    const [first, second] = [await start(), await start()]
    first.answer.push(60)
    second.answer.push(40)
    second.answer.push(1)
    expect(await resultOf(second)).to.equal(CUT)
    first.answer.push(40)
    first.answer.end()
    expect(await resultOf(first)).to.equal('answered')
  })

  it('counts an answer until its caller has received it', async () => {
    const first = await start()
    first.answer.push(60)
    first.answer.end()
    await first.outcome
    const second = await start()
    second.answer.push(60)
    expect(await resultOf(second)).to.equal(CUT)
    first.sink.sent()
    const third = await start()
    third.answer.push(60)
    third.answer.end()
    expect(await resultOf(third)).to.equal('answered')
  })

  const endings: ReadonlyArray<{ readonly name: string, readonly status?: number, readonly sink?: ManualSink, readonly end: (attempt: OpenAttempt) => Promise<void> }> = [
    { name: 'an answer that is cut', end: async ({ answer }) => { answer.end(Left(cut)) } },
    { name: 'an answer whose reading throws', end: async ({ answer }) => { answer.push(LIMIT_BYTES) } },
    { name: 'an answer that cannot be sent', sink: new ManualSink(true), end: async ({ answer }) => { answer.end() } },
    {
      name: 'a server error that is not needed',
      status: FAILED,
      end: async ({ answer, outcome }) => {
        answer.end()
        const result = await outcome
        if (result.kind === 'failedAnswer') result.buffer.discard()
      }
    },
    {
      name: 'a server error that was sent',
      status: FAILED,
      end: async ({ answer, outcome, sink }) => {
        answer.end()
        const result = await outcome
        if (result.kind !== 'failedAnswer') return
        result.buffer.sendTo(sink, answer.head)
        result.buffer.discard()
        expect(await isEmpty()).to.equal(false)
        sink.sent()
      }
    }
  ]
  for (const { name, status, sink, end } of endings) {
    it(`releases the bytes of ${name}`, async () => {
      const attempt = await start(status, sink)
      attempt.answer.push(60)
      expect(await isEmpty()).to.equal(false)
      await end(attempt)
      await attempt.outcome
      expect(await isEmpty()).to.equal(true)
    })
  }
})
