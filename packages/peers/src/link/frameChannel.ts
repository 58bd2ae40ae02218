/**
 * A socket as a channel of msgpackr frames. Record shapes are sent once for each connection.
 * Until the peer has proved itself only a few bytes are taken from it, and none of them in a
 * chunk that exceeds that allowance reaches the decoder.
 */
import type { Socket } from 'node:net'
import { Packr, UnpackrStream } from 'msgpackr'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { LinkLimits } from './linkTypes.js'

/** Takes one decoded frame. */
export type FrameHandler = (frame: unknown) => void

/** Frames over one socket. */
export class FrameChannel {
  private readonly packr = new Packr({ sequential: true })
  private readonly unpackr: UnpackrStream
  private readonly onData = (chunk: Buffer): void => this.take(chunk)
  private trusted = false
  private untrustedBytes = 0

  /**
   * @param socket - a connected or connecting socket
   * @param limits - bounds of sizes
   * @param onFrame - takes each frame, in order
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

  /** Lifts the allowance of the handshake. */
  trust (): void {
    this.trusted = true
  }

  /** Bytes written that the kernel has not taken yet. */
  get waitingBytes (): number {
    return this.socket.writableLength
  }

  /**
   * Sends one frame; fails with `bodyTooLarge` (`ran: no`) when it exceeds the limit.
   * @param value - a value that msgpackr can carry
   */
  send (value: unknown): Either<Failure, void> {
    if (this.socket.destroyed) return Left(new Failure('peerUnreachable', 'the link is closed'))
    const frame = this.packr.pack(value)
    if (frame.length > this.limits.frameBytes) {
      // The peer will never see the shapes defined in this frame, so they must be defined again.
      this.packr.clearSharedData()
      return Left(new Failure('bodyTooLarge', `a frame of ${frame.length} bytes exceeds ${this.limits.frameBytes}`))
    }
    this.socket.write(frame)
    return Right(undefined)
  }

  private take (chunk: Buffer): void {
    if (!this.trusted) {
      this.untrustedBytes += chunk.length
      if (this.untrustedBytes > this.limits.handshakeBytes) {
        this.socket.destroy()
        return
      }
    }
    if (this.unpackr.write(chunk)) return
    this.socket.pause()
    this.unpackr.once('drain', () => this.socket.resume())
  }
}
