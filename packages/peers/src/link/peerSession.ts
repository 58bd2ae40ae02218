/**
 * Server end of one link: handshake first, then calls.
 */
import type { Socket } from 'node:net'
import { createJSONRPCErrorResponse, isJSONRPCRequest, JSONRPCErrorCode, type JSONRPCRequest, type JSONRPCResponse, type JSONRPCServer } from 'json-rpc-2.0'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { toErrorResponse } from './failureCodec.js'
import { FrameChannel } from './frameChannel.js'
import { helloSchema, createNonce, responseSchema, type Hello, type KeyRing, type Transcript } from './handshake.js'
import type { LinkLimits } from './linkTypes.js'

/** Server idle timeout as a multiple of the client's, so that the client closes an idle link first. */
const SERVER_IDLE_FACTOR = 3

type SessionState =
  | { readonly kind: 'awaitingHello' }
  | { readonly kind: 'awaitingProof', readonly transcript: Transcript }
  | { readonly kind: 'open', readonly from: string }

export interface SessionContext {
  readonly holder: string
  readonly keys: KeyRing
  readonly limits: LinkLimits
  readonly rpc: JSONRPCServer<string>
}

/** Serves one accepted connection until it closes. */
export function servePeer (socket: Socket, context: SessionContext): PeerSession {
  return new PeerSession(socket, context)
}

class PeerSession {
  private readonly channel: FrameChannel
  private readonly deadline: NodeJS.Timeout
  private state: SessionState = { kind: 'awaitingHello' }
  private running = 0

  constructor (private readonly socket: Socket, private readonly context: SessionContext) {
    this.channel = new FrameChannel(socket, context.limits, frame => this.handleFrame(frame))
    this.deadline = setTimeout(() => socket.destroy(), context.limits.handshakeMs)
    socket.once('close', () => clearTimeout(this.deadline))
  }

  private handleFrame (frame: unknown): void {
    switch (this.state.kind) {
      case 'awaitingHello': return this.handleHello(frame)
      case 'awaitingProof': return this.handleProof(frame, this.state.transcript)
      case 'open': this.serve(frame, this.state.from)
    }
  }

  private handleHello (frame: unknown): void {
    const hello = helloSchema.safeParse(frame)
    if (!hello.success) {
      this.socket.destroy()
      return
    }
    this.challenge(hello.data)
  }

  private challenge (hello: Hello): void {
    const { holder, keys } = this.context
    const nonce = createNonce()
    const transcript = { clientHolder: hello.holder, serverHolder: holder, clientNonce: hello.nonce, serverNonce: nonce }
    this.state = { kind: 'awaitingProof', transcript }
    this.channel.send({ kind: 'challenge', holder, nonce, proof: keys.prove('server', transcript) })
  }

  private handleProof (frame: unknown, transcript: Transcript): void {
    const response = responseSchema.safeParse(frame)
    if (!response.success || !this.context.keys.verify('client', transcript, response.data.proof)) {
      this.socket.destroy()
      return
    }
    clearTimeout(this.deadline)
    this.state = { kind: 'open', from: transcript.clientHolder }
    this.channel.markAuthenticated()
    this.socket.setTimeout(this.context.limits.idleMs * SERVER_IDLE_FACTOR, () => this.socket.destroy())
    this.channel.send({ kind: 'welcome' })
  }

  private serve (frame: unknown, from: string): void {
    if (!isJSONRPCRequest(frame)) {
      this.channel.send(createJSONRPCErrorResponse(null, JSONRPCErrorCode.InvalidRequest, 'the frame is not a JSON-RPC request'))
      return
    }
    if (this.running >= this.context.limits.openCalls) {
      this.refuseCall(frame)
      return
    }
    this.run(frame, from).catch(() => this.socket.destroy())
  }

  private refuseCall (req: JSONRPCRequest): void {
    if (req.id === undefined) return
    this.channel.send(toErrorResponse(req.id, new Failure('overloaded', 'the limit of concurrent calls for this connection is reached', { ran: 'no' })))
  }

  private async run (req: JSONRPCRequest, from: string): Promise<void> {
    this.running += 1
    const response = await this.context.rpc.receive(req, from)
    this.running -= 1
    if (response !== null) this.answer(response)
  }

  private answer (response: JSONRPCResponse): void {
    if (this.socket.destroyed) return
    this.channel.send(response).ifLeft(err => {
      const failure = new Failure(err.code, err.message, { ran: 'yes' })
      this.channel.send(toErrorResponse(response.id, failure))
    })
  }
}
