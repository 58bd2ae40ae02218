/**
 * One request that this VM sends to a target for another VM: stores the bytes of the answer until the other VM reads them.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { Failure, failureOf, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TargetAnswer } from '../gateway/callTypes.js'
import type { RelayedBytes } from './relayTypes.js'

/** Unread bytes beyond which nothing more is read from the target. */
const MAX_UNREAD_BYTES = 256 * 1024
/** Time for which bytes are collected before they are returned, so that a stream of small events needs few messages. */
const COLLECT_MS = 20
/** Time without a read after which the other VM counts as gone; it waits with the next read for callers that read slowly. */
const READ_TIMEOUT_MS = 10_000

export class RelayedExchange {
  private readonly cancelled = new AbortController()
  private unread: Buffer[] = []
  private unreadBytes = 0
  private isEnd = false
  private failure: Failure | undefined
  private onArrival: () => void = () => {}
  private onDrained: () => void = () => {}
  private readTimer: NodeJS.Timeout | undefined

  /** @param onClosed - called once, when nothing is left to read or the request was cancelled */
  constructor (private readonly onClosed: () => void) {}

  /** Aborted when the request was cancelled. */
  get signal (): AbortSignal {
    return this.cancelled.signal
  }

  /** Starts to read the answer of the target. */
  receive (answer: TargetAnswer): void {
    answer.read(bytes => this.store(bytes)).then(read => { this.end(failureOf(read)) }, (err: unknown) => { this.end(toFailure(err)) })
  }

  /** The first bytes of the answer, as soon as there are any. */
  async readFirst (): Promise<RelayedBytes> {
    await this.untilArrival()
    return this.take()
  }

  /** The bytes that follow. */
  async read (): Promise<RelayedBytes> {
    clearTimeout(this.readTimer)
    await this.untilArrival()
    if (!this.isEnd) await pause(COLLECT_MS)
    return this.take()
  }

  cancel (): void {
    clearTimeout(this.readTimer)
    if (this.cancelled.signal.aborted) return
    this.cancelled.abort()
    this.onDrained()
    this.end(new Failure('answerCut', 'the request was cancelled', { ran: 'unknown' }))
    this.onClosed()
  }

  private end (failure: Failure | undefined): void {
    if (this.isEnd) return
    this.isEnd = true
    this.failure = failure
    this.onArrival()
  }

  private store (bytes: Buffer): Promise<void> | undefined {
    this.unread.push(bytes)
    this.unreadBytes += bytes.length
    this.onArrival()
    if (this.unreadBytes <= MAX_UNREAD_BYTES) return undefined
    return new Promise(resolve => { this.onDrained = resolve })
  }

  private async untilArrival (): Promise<void> {
    if (this.unread.length > 0 || this.isEnd) return
    await new Promise<void>(resolve => { this.onArrival = resolve })
  }

  private take (): RelayedBytes {
    const bytes = Buffer.concat(this.unread)
    this.unread = []
    this.unreadBytes = 0
    this.onDrained()
    if (this.isEnd) this.onClosed()
    else this.readTimer = setTimeout(() => { this.cancel() }, READ_TIMEOUT_MS)
    return { bytes, isEnd: this.isEnd, ...(this.failure === undefined ? {} : { failure: this.failure }) }
  }
}
