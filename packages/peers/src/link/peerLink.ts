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
import { challengeSchema, makeNonce, welcomeSchema, type KeyRing, type Transcript } from './handshake.js'
import { PROBE_METHOD, type LateAnswer, type LinkLimits } from './linkTypes.js'

/** Time after a timeout within which a response is still accepted: VMs with little CPU time send and read responses late. */
const LATE_MS = 1_000
/** Event loop turns that read responses which arrived while the process was blocked; the timer of the timeout runs first. */
const TURNS_TO_READ = 2

type LinkState = 'greeting' | 'proving' | 'open' | 'closed'

export interface LinkContext {
  readonly holder: string
  readonly keys: KeyRing
  readonly limits: LinkLimits
  readonly clock: Clock
}

export class PeerLink {
  /** Resolves when the handshake ends, with a failure (`ran: no`) if it did not succeed. */
  readonly ready: Promise<Either<Failure, void>>
  private readonly channel: FrameChannel
  private readonly rpc: JSONRPCClient
  private readonly nonce = makeNonce()
  private readonly deadline: NodeJS.Timeout
  private settle: (outcome: Either<Failure, void>) => void = () => {}
  private state: LinkState = 'greeting'
  private opened = false
  private silent = false
  private retired = false
  private heardAt: number
  private probedAt: number | undefined
  private nextId = 0
  /** Send failures by call id, until the call returns. */
  private readonly unsent = new Map<number, Failure>()

  /** @param socket - a connecting socket */
  constructor (private readonly socket: Socket, private readonly context: LinkContext) {
    const { limits, clock, holder } = context
    this.heardAt = clock.now().mono
    this.ready = new Promise(resolve => { this.settle = resolve })
    this.channel = new FrameChannel(socket, limits, frame => this.take(frame))
    this.rpc = new JSONRPCClient(req => this.send(req))
    this.deadline = setTimeout(() => socket.destroy(), limits.handshakeMs)
    socket.once('connect', () => this.channel.send({ kind: 'hello', protocol: 1, holder, nonce: this.nonce }))
    socket.once('close', () => this.closed())
  }

  /** Whether calls can use the link, possibly after its handshake. */
  get usable (): boolean {
    return this.state !== 'closed' && !this.retired && !this.socket.destroyed
  }

  /** Whether the handshake has succeeded; stays true after the link is closed. */
  get wasOpen (): boolean {
    return this.opened
  }

  /** Whether the link was retired because a call got no response and nothing else arrived since. */
  get wentSilent (): boolean {
    return this.silent
  }

  /**
   * Calls a method; the handshake must have succeeded.
   * @param params - any value that msgpackr can serialize
   * @param onLate - receives a result that arrives after the timeout
   */
  async request (method: string, params: unknown, timeoutMs: number, onLate: LateAnswer = () => {}): Promise<Either<Failure, unknown>> {
    this.watch()
    if (!this.usable) return Left(new Failure('peerUnreachable', 'the link was closed'))
    this.nextId += 1
    const id = this.nextId
    const sentAt = this.context.clock.now().mono
    const req = createJSONRPCRequest(id, method, params)
    const timed = this.rpc.timeout(timeoutMs + LATE_MS, lateId => createJSONRPCErrorResponse(lateId, LOCAL_ERROR_CODE, `no response to ${method}`))
    const pending = timed.requestAdvanced(req)
    const answer = await inTime(pending, timeoutMs) ?? this.givenUp(pending, id, `no response to ${method} within ${timeoutMs} ms`, onLate)
    if (answer.error === undefined) return Right(answer.result)
    const unsent = this.unsent.get(id)
    this.unsent.delete(id)
    if (unsent === undefined && answer.error.code === LOCAL_ERROR_CODE) this.unanswered(sentAt)
    return Left(unsent ?? fromErrorResponse(answer.error))
  }

  /** Whether a frame was received after a time, in monotonic milliseconds. */
  heardAfter (mono: number): boolean {
    return this.heardAt > mono
  }

  /**
   * Sends a notification; drops it when the peer is too slow.
   * @param params - any value that msgpackr can serialize
   */
  notify (method: string, params: unknown): void {
    this.watch()
    if (!this.usable || this.channel.waitingBytes > this.context.limits.waitingBytes) return
    this.channel.send(createJSONRPCNotification(method, params))
  }

  /** Stops accepting calls; late responses are still accepted. */
  retire (): void {
    if (this.retired) return
    this.retired = true
    setTimeout(() => { this.socket.destroy() }, LATE_MS).unref()
  }

  /** Closes the connection; open calls fail. */
  close (): void {
    this.socket.destroy()
  }

  private send (req: JSONRPCRequest): void {
    this.channel.send(req).ifLeft(err => {
      this.unsent.set(Number(req.id), err)
      throw err
    })
  }

  private take (frame: unknown): void {
    this.heardAt = this.context.clock.now().mono
    this.probedAt = undefined
    switch (this.state) {
      case 'greeting': return this.prove(frame)
      case 'proving': return this.open(frame)
      case 'open': if (isJSONRPCResponse(frame)) this.rpc.receive(frame)
    }
  }

  private prove (frame: unknown): void {
    const challenge = challengeSchema.safeParse(frame)
    if (!challenge.success) return this.refuse('the peer sent no valid challenge; its protocol may differ')
    const { holder, keys } = this.context
    const transcript: Transcript = {
      clientHolder: holder,
      serverHolder: challenge.data.holder,
      clientNonce: this.nonce,
      serverNonce: challenge.data.nonce
    }
    if (!keys.accepts('server', transcript, challenge.data.proof)) return this.refuse('the proof of the peer matches none of the configured keys')
    this.state = 'proving'
    this.channel.send({ kind: 'response', proof: keys.prove('client', transcript) })
  }

  private open (frame: unknown): void {
    if (!welcomeSchema.safeParse(frame).success) return this.refuse('the peer sent no valid welcome; its protocol may differ')
    clearTimeout(this.deadline)
    this.state = 'open'
    this.opened = true
    this.channel.trust()
    this.socket.setTimeout(this.context.limits.idleMs, () => this.socket.destroy())
    this.settle(Right(undefined))
  }

  private refuse (detail: string): void {
    this.settle(Left(new Failure('peerRefused', detail)))
    this.socket.destroy()
  }

  private closed (): void {
    const last = this.state
    this.state = 'closed'
    clearTimeout(this.deadline)
    // A peer that closes the connection instead of sending a welcome did not accept the proof.
    this.settle(Left(last === 'proving'
      ? new Failure('peerRefused', 'the peer did not accept the proof')
      : new Failure('peerUnreachable', 'the connection closed before the handshake completed')))
    this.rpc.rejectAllPendingRequests('the connection was lost')
  }

  /** An unresponsive connection does not recover: a new one costs the next call two round trips instead of its full timeout. */
  private unanswered (sentAt: number): void {
    if (!this.usable || this.heardAfter(sentAt)) return
    this.silent = true
    this.retire()
  }

  private givenUp (pending: PromiseLike<JSONRPCResponse>, id: number, detail: string, onLate: LateAnswer): JSONRPCResponse {
    pending.then(late => { if (late.error === undefined) onLate(late.result) }, () => {})
    return createJSONRPCErrorResponse(id, LOCAL_ERROR_CODE, detail)
  }

  /** Probes a peer that sent nothing for `probeAfterMs`; closes the link when an earlier probe got no answer in time. */
  private watch (): void {
    const { clock, limits } = this.context
    const now = clock.now().mono
    if (this.probedAt !== undefined) {
      if (now - this.probedAt > limits.probeTimeoutMs) this.socket.destroy()
      return
    }
    if (now - this.heardAt <= limits.probeAfterMs) return
    this.probedAt = now
    this.nextId += 1
    this.rpc.timeout(limits.probeTimeoutMs).requestAdvanced(createJSONRPCRequest(this.nextId, PROBE_METHOD)).then(() => {}, () => {})
  }
}

/** The response; undefined when it neither arrived in time nor was waiting unread in the socket. */
async function inTime (pending: PromiseLike<JSONRPCResponse>, timeoutMs: number): Promise<JSONRPCResponse | undefined> {
  const stop = new AbortController()
  const limit = pause(timeoutMs, undefined, { signal: stop.signal }).then(async () => {
    for (let turn = 0; turn < TURNS_TO_READ; turn += 1) await nextTurn()
    return undefined
  }, () => undefined)
  const answer = await Promise.race([pending, limit])
  stop.abort()
  return answer
}
