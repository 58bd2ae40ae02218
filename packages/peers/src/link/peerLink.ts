/**
 * Client end of one link: handshake, open calls, and probing of an unresponsive peer.
 * A closed link is not reused; the client opens a new one on demand.
 */
import type { Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as pause } from 'node:timers/promises'
import { createJSONRPCErrorResponse, createJSONRPCNotification, createJSONRPCRequest, isJSONRPCResponse, JSONRPCClient, type JSONRPCRequest, type JSONRPCResponse } from 'json-rpc-2.0'
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { fromErrorResponse, LOCAL_ERROR_CODE } from './failureCodec.js'
import { FrameChannel } from './frameChannel.js'
import { challengeSchema, createNonce, welcomeSchema, type KeyRing, type Transcript } from './handshake.js'
import { PROBE_METHOD, type LateResponseHandler, type LinkLimits } from './linkTypes.js'

/** Time after a timeout within which a response is still accepted: VMs with little CPU time send and read responses late. */
const LATE_RESPONSE_MS = 1_000
/** Event loop turns that read responses which arrived while the process was blocked; the timer of the timeout runs first. */
const READ_LOOP_TURNS = 2

type LinkState = 'awaitingChallenge' | 'awaitingWelcome' | 'open' | 'closed'

export interface LinkContext {
  readonly holder: string
  readonly keys: KeyRing
  readonly limits: LinkLimits
  readonly clock: Clock
}

/** One connection to a peer; the client opens it and sends all calls. */
export class PeerLink {
  /** Resolves when the handshake ends, with a failure (`ran: no`) if it did not succeed. */
  readonly ready: Promise<Either<Failure, void>>
  private readonly channel: FrameChannel
  private readonly rpc: JSONRPCClient
  private readonly nonce = createNonce()
  private readonly deadline: NodeJS.Timeout
  private resolveReady: (outcome: Either<Failure, void>) => void = () => {}
  private state: LinkState = 'awaitingChallenge'
  private hasOpened = false
  private unresponsive = false
  private isRetired = false
  private lastReceivedAt: number
  private probedAt: number | undefined
  private nextId = 0
  /** Send failures by call id, until the call returns. */
  private readonly sendFailures = new Map<number, Failure>()

  /** @param socket - a connecting socket */
  constructor (private readonly socket: Socket, private readonly context: LinkContext) {
    const { limits, clock, holder } = context
    this.lastReceivedAt = clock.now().mono
    this.ready = new Promise(resolve => { this.resolveReady = resolve })
    this.channel = new FrameChannel(socket, limits, frame => this.handleFrame(frame))
    this.rpc = new JSONRPCClient(req => this.send(req))
    this.deadline = setTimeout(() => socket.destroy(), limits.handshakeMs)
    socket.once('connect', () => this.channel.send({ kind: 'hello', protocol: 1, holder, nonce: this.nonce }))
    socket.once('close', () => this.closed())
  }

  /** Whether calls can use the link, possibly after its handshake. */
  get isUsable (): boolean {
    return this.state !== 'closed' && !this.isRetired && !this.socket.destroyed
  }

  /** Whether the handshake has succeeded; stays true after the link is closed. */
  get wasOpen (): boolean {
    return this.hasOpened
  }

  /** Whether the link was retired because a call got no response and nothing else arrived since. */
  get isUnresponsive (): boolean {
    return this.unresponsive
  }

  /**
   * Calls a method; the handshake must have succeeded.
   * @param params - any value that msgpackr can serialize
   * @param onLate - receives a result that arrives after the timeout
   */
  async request (method: string, params: unknown, timeoutMs: number, onLate: LateResponseHandler = () => {}): Promise<Either<Failure, unknown>> {
    this.checkLiveness()
    if (!this.isUsable) return Left(new Failure('peerUnreachable', 'the link was closed', { ran: 'no' }))
    this.nextId += 1
    const id = this.nextId
    const sentAt = this.context.clock.now().mono
    const req = createJSONRPCRequest(id, method, params)
    const timedClient = this.rpc.timeout(timeoutMs + LATE_RESPONSE_MS, lateId => createJSONRPCErrorResponse(lateId, LOCAL_ERROR_CODE, `no response to ${method}`))
    const pending = timedClient.requestAdvanced(req)
    const answer = await responseWithin(pending, timeoutMs) ?? this.onTimeout(pending, id, `no response to ${method} within ${timeoutMs} ms`, onLate)
    if (answer.error === undefined) return Right(answer.result)
    const sendFailure = this.sendFailures.get(id)
    this.sendFailures.delete(id)
    if (sendFailure === undefined && answer.error.code === LOCAL_ERROR_CODE) this.onUnanswered(sentAt)
    return Left(sendFailure ?? fromErrorResponse(answer.error))
  }

  /** Whether a frame was received after a time, in monotonic milliseconds. */
  hasReceivedAfter (mono: number): boolean {
    return this.lastReceivedAt > mono
  }

  /**
   * Sends a notification; drops it when the peer is too slow.
   * @param params - any value that msgpackr can serialize
   */
  notify (method: string, params: unknown): void {
    this.checkLiveness()
    if (!this.isUsable || this.channel.unsentBytes > this.context.limits.unsentBytes) return
    this.channel.send(createJSONRPCNotification(method, params))
  }

  /** Stops accepting calls; late responses are still accepted. */
  retire (): void {
    if (this.isRetired) return
    this.isRetired = true
    setTimeout(() => { this.socket.destroy() }, LATE_RESPONSE_MS).unref()
  }

  /** Closes the connection; open calls fail. */
  close (): void {
    this.socket.destroy()
  }

  private send (req: JSONRPCRequest): void {
    this.channel.send(req).ifLeft(err => {
      this.sendFailures.set(Number(req.id), err)
      throw err
    })
  }

  private handleFrame (frame: unknown): void {
    this.lastReceivedAt = this.context.clock.now().mono
    this.probedAt = undefined
    switch (this.state) {
      case 'awaitingChallenge': return this.answerChallenge(frame)
      case 'awaitingWelcome': return this.open(frame)
      case 'open': if (isJSONRPCResponse(frame)) this.rpc.receive(frame)
    }
  }

  private answerChallenge (frame: unknown): void {
    const challenge = challengeSchema.safeParse(frame)
    if (!challenge.success) return this.refuse('the peer sent no valid challenge; its protocol may differ')
    const { holder, keys } = this.context
    const transcript: Transcript = {
      clientHolder: holder,
      serverHolder: challenge.data.holder,
      clientNonce: this.nonce,
      serverNonce: challenge.data.nonce
    }
    if (!keys.verify('server', transcript, challenge.data.proof)) return this.refuse('the proof of the peer matches none of the configured keys')
    this.state = 'awaitingWelcome'
    this.channel.send({ kind: 'response', proof: keys.prove('client', transcript) })
  }

  private open (frame: unknown): void {
    if (!welcomeSchema.safeParse(frame).success) return this.refuse('the peer sent no valid welcome; its protocol may differ')
    clearTimeout(this.deadline)
    this.state = 'open'
    this.hasOpened = true
    this.channel.markAuthenticated()
    this.socket.setTimeout(this.context.limits.idleMs, () => this.socket.destroy())
    this.resolveReady(Right(undefined))
  }

  private refuse (detail: string): void {
    this.resolveReady(Left(new Failure('peerRefused', detail, { ran: 'no' })))
    this.socket.destroy()
  }

  private closed (): void {
    const lastState = this.state
    this.state = 'closed'
    clearTimeout(this.deadline)
    // A peer that closes the connection instead of sending a welcome did not accept the proof.
    this.resolveReady(Left(lastState === 'awaitingWelcome'
      ? new Failure('peerRefused', 'the peer did not accept the proof', { ran: 'no' })
      : new Failure('peerUnreachable', 'the connection closed before the handshake completed', { ran: 'no' })))
    this.rpc.rejectAllPendingRequests('the connection was lost')
  }

  /** An unresponsive connection does not recover: a new one costs the next call two round trips instead of its full timeout. */
  private onUnanswered (sentAt: number): void {
    if (!this.isUsable || this.hasReceivedAfter(sentAt)) return
    this.unresponsive = true
    this.retire()
  }

  private onTimeout (pending: PromiseLike<JSONRPCResponse>, id: number, detail: string, onLate: LateResponseHandler): JSONRPCResponse {
    pending.then(late => { if (late.error === undefined) onLate(late.result) }, () => {})
    return createJSONRPCErrorResponse(id, LOCAL_ERROR_CODE, detail)
  }

  /** Probes a peer that sent nothing for `probeAfterMs`; closes the link when an earlier probe got no answer in time. */
  private checkLiveness (): void {
    const { clock, limits } = this.context
    const now = clock.now().mono
    if (this.probedAt !== undefined) {
      if (now - this.probedAt > limits.probeTimeoutMs) this.socket.destroy()
      return
    }
    if (now - this.lastReceivedAt <= limits.probeAfterMs) return
    this.probedAt = now
    this.nextId += 1
    this.rpc.timeout(limits.probeTimeoutMs).requestAdvanced(createJSONRPCRequest(this.nextId, PROBE_METHOD)).then(() => {}, () => {})
  }
}

/** The response; undefined when it neither arrived in time nor was waiting unread in the socket. */
async function responseWithin (pending: PromiseLike<JSONRPCResponse>, timeoutMs: number): Promise<JSONRPCResponse | undefined> {
  const timerAbort = new AbortController()
  const timeLimit = pause(timeoutMs, undefined, { signal: timerAbort.signal }).then(async () => {
    for (let turn = 0; turn < READ_LOOP_TURNS; turn += 1) await nextTurn()
    return undefined
  }, () => undefined)
  const answer = await Promise.race([pending, timeLimit])
  timerAbort.abort()
  return answer
}
