/**
 * Types and limits of calls between VMs: JSON-RPC 2.0 in msgpackr frames over one TCP connection per client and server.
 * Both ends authenticate with a fleet key before any call.
 */
import type { Socket } from 'node:net'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Handles calls of one method. `params` is not validated; `from` is the holder id that the caller sent in the handshake. */
export type PeerMethodHandler = (params: unknown, from: string) => Promise<unknown>

/** Receives the result of a call that had already timed out. */
export type LateResponseHandler = (result: unknown) => void

/** Calls other VMs. Failures: `peerUnreachable` (`ran: unknown` once sent), `peerRefused`. */
export interface PeerClient {
  /**
   * Calls a method of a VM.
   * @param address - IPv4:port of the peer
   * @param params - any value that msgpackr can serialize
   * @param onLate - receives a result that arrives up to one second after the timeout
   */
  call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateResponseHandler): Promise<Either<Failure, unknown>>
  close (): void
}

/** Sends one-way messages. */
export interface PeerNotifier {
  /**
   * Sends a notification; drops it without an error when the peer is unreachable or too slow.
   * @param address - IPv4:port of the peer
   * @param params - any value that msgpackr can serialize
   */
  notify (address: string, method: string, params: unknown): void
}

export interface PeerServer {
  register (method: string, handler: PeerMethodHandler): void
  listen (address: string): Promise<void>
  close (): Promise<void>
}

/** Identity and credentials of this process in the handshake. */
export interface PeerIdentity {
  readonly holder: string
  /** Fleet keys: the first one signs, all of them are accepted. */
  readonly keys: readonly string[]
}

/** Opens a connection to `IPv4:port`; replaceable in tests. */
export type Dial = (address: string) => Socket

/** Limits of a link; times in milliseconds, sizes in bytes. */
export interface LinkLimits {
  /** Time from connecting to the end of the handshake. */
  readonly handshakeMs: number
  /** Bytes accepted from a peer before it is authenticated. */
  readonly handshakeBytes: number
  /** Maximum size of one frame. */
  readonly frameBytes: number
  /** Maximum concurrent calls to one peer, and maximum concurrent handlers per connection. */
  readonly openCalls: number
  /** Unsent bytes to a slow peer beyond which notifications are dropped. */
  readonly unsentBytes: number
  /** A client closes a link after this time without traffic. */
  readonly idleMs: number
  /** A link that received no frame for this time is probed at the next send. */
  readonly probeAfterMs: number
  /** A link is closed when a probe gets no answer within this time. */
  readonly probeTimeoutMs: number
  /** Minimum and maximum delay before the next connection attempt. */
  readonly backoffMinMs: number
  readonly backoffMaxMs: number
  /** Maximum concurrent connections of a server. */
  readonly connections: number
}

export const defaultLinkLimits: LinkLimits = {
  handshakeMs: 2_000,
  handshakeBytes: 4_096,
  frameBytes: 4 * 1024 * 1024,
  openCalls: 256,
  unsentBytes: 256 * 1024,
  idleMs: 30_000,
  probeAfterMs: 3_000,
  probeTimeoutMs: 2_000,
  backoffMinMs: 100,
  backoffMaxMs: 2_000,
  connections: 1_024
}

/** Method that probes an unresponsive link; every server provides it. */
export const PROBE_METHOD = 'link.probe'
