/**
 * Calls between VMs: JSON-RPC 2.0 over one TCP connection for each caller and callee, framed by
 * msgpackr. Each end proves that it knows a fleet key before anything else is accepted.
 */
import type { Socket } from 'node:net'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/**
 * Serves one method; the argument comes checked by nobody, so it is `unknown`. `from` is the
 * holder id that the caller gave in the handshake.
 */
export type PeerMethod = (params: unknown, from: string) => Promise<unknown>

/** Takes the result of a call that was given up before it came. */
export type LateAnswer = (result: unknown) => void

/** Calls other VMs. Failures: `peerUnreachable` (`ran: unknown` once sent), `peerRefused`. */
export interface PeerClient {
  /**
   * Calls a method of a VM.
   * @param address - IPv4:port of the peer
   * @param method - method name
   * @param params - a value that msgpackr can carry
   * @param timeoutMs - milliseconds until the call is given up
   * @param onLate - takes a result that comes up to a second after that
   */
  call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateAnswer): Promise<Either<Failure, unknown>>
  close (): void
}

/** Sends messages that nobody answers. */
export interface PeerNotifier {
  /**
   * Sends a notification; it is dropped silently when the peer cannot be reached or is too slow.
   * @param address - IPv4:port of the peer
   * @param method - method name
   * @param params - a value that msgpackr can carry
   */
  notify (address: string, method: string, params: unknown): void
}

/** Serves calls of other VMs. */
export interface PeerServer {
  register (method: string, handler: PeerMethod): void
  listen (address: string): Promise<void>
  close (): Promise<void>
}

/** Who this process is to its peers. */
export interface PeerIdentity {
  /** Holder id of this process. */
  readonly holder: string
  /** Fleet keys: the first one signs, every one is accepted. */
  readonly keys: readonly string[]
}

/** Opens a connection to `IPv4:port`; tests give one that can be cut. */
export type Dial = (address: string) => Socket

/** Bounds of a link; times in milliseconds, sizes in bytes. */
export interface LinkLimits {
  /** Time from connecting to the end of the handshake. */
  readonly handshakeMs: number
  /** Bytes taken from a peer that has not proved itself. */
  readonly handshakeBytes: number
  /** Largest frame. */
  readonly frameBytes: number
  /** Calls open at once with one peer, and handlers running at once for one. */
  readonly openCalls: number
  /** Bytes waiting for a slow peer beyond which notifications are dropped. */
  readonly waitingBytes: number
  /** A client closes a link on which nothing moved for so long. */
  readonly idleMs: number
  /** A link on which nothing was heard for so long is probed at the next send. */
  readonly probeAfterMs: number
  /** A probe without answer after this time means that the link is dead. */
  readonly probeTimeoutMs: number
  /** Shortest and longest wait before a new attempt to connect. */
  readonly backoffMinMs: number
  readonly backoffMaxMs: number
  /** Connections that a server holds at once. */
  readonly connections: number
}

/** Limits of the daemon. */
export const defaultLinkLimits: LinkLimits = {
  handshakeMs: 2_000,
  handshakeBytes: 4_096,
  frameBytes: 4 * 1024 * 1024,
  openCalls: 256,
  waitingBytes: 256 * 1024,
  idleMs: 30_000,
  probeAfterMs: 3_000,
  probeTimeoutMs: 2_000,
  backoffMinMs: 100,
  backoffMaxMs: 2_000,
  connections: 1_024
}

/** Method by which a client probes a silent link; every server has it. */
export const PROBE_METHOD = 'link.probe'
