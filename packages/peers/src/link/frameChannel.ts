/**
 * Channel of msgpackr frames over a socket; record shapes are sent once per connection.
 * Until the peer is authenticated the channel accepts only `handshakeBytes`; a chunk that exceeds them never reaches the decoder.
 */
import type { Socket } from 'node:net'
import { Packr, UnpackrStream } from 'msgpackr'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { LinkLimits } from './linkTypes.js'

/** Receives one decoded frame. */
export type FrameHandler = (frame: unknown) => void

/** Closes the socket on an error, on malformed input and at the end of the peer's side. */
export class FrameChannel {
  private readonly packr = new Packr({ sequential: true })
  private readonly unpackr: UnpackrStream
  private readonly onData = (chunk: Buffer): void => this.receive(chunk)
  private isAuthenticated = false
  private handshakeBytes = 0

  /**
   * @param socket - a connected or connecting socket
   * @param onFrame - receives the frames in order
   */
  constructor (readonly socket: Socket, private readonly limits: LinkLimits, onFrame: FrameHandler) {
    this.unpackr = new UnpackrStream({ maxIncompleteBufferSize: limits.frameBytes })
    this.unpackr.on('data', frame => { if (!socket.destroyed) onFrame(frame) })
    this.unpackr.on('error', () => socket.destroy())
    socket.setNoDelay(true)
    socket.on('data', this.onData)
    socket.on('error', () => socket.destroy())
    socket.on('end', () => socket.destroy())
  }

  /** Lifts the byte limit of the handshake, once the peer is authenticated. */
  markAuthenticated (): void {
    this.isAuthenticated = true
  }

  /** Bytes written to the socket that are not yet passed to the kernel. */
  get unsentBytes (): number {
    return this.socket.writableLength
  }

  /**
   * Sends one frame; fails with `bodyTooLarge` (`ran: no`) when it exceeds the limit.
   * @param value - any value that msgpackr can serialize
   */
  send (value: unknown): Either<Failure, void> {
    if (this.socket.destroyed) return Left(new Failure('peerUnreachable', 'the link is closed', { ran: 'no' }))
    const frame = this.packr.pack(value)
    if (frame.length > this.limits.frameBytes) {
      // The record shapes defined in this frame never reach the peer, so they must be defined again.
      this.packr.clearSharedData()
      return Left(new Failure('bodyTooLarge', `frame of ${frame.length} bytes exceeds the limit of ${this.limits.frameBytes} bytes`, { ran: 'no' }))
    }
    this.socket.write(frame)
    return Right(undefined)
  }

  private receive (chunk: Buffer): void {
    if (!this.isAuthenticated) {
      this.handshakeBytes += chunk.length
      if (this.handshakeBytes > this.limits.handshakeBytes) {
        this.socket.destroy()
        return
      }
    }
    if (this.unpackr.write(chunk)) return
    this.socket.pause()
    this.unpackr.once('drain', () => this.socket.resume())
  }
}
