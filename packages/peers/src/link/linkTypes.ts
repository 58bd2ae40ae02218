/**
 * Calls between VMs: JSON-RPC 2.0 over one TCP connection per pair, framed by msgpackr. Each end
 * proves that it knows a fleet key before anything else is accepted.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Serves one method; the argument comes checked by nobody, so it is `unknown`. */
export type PeerMethod = (params: unknown, from: string) => Promise<unknown>

/** Calls other VMs. Failures: `peerUnreachable` (`ran: unknown` once sent), `peerRefused`. */
export interface PeerClient {
  /**
   * Calls a method of a VM.
   * @param address - IPv4:port of the peer
   * @param method - method name
   * @param params - a value that msgpackr can carry
   * @param timeoutMs - milliseconds until the call is given up
   */
  call (address: string, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>>
  close (): void
}

/** Serves calls of other VMs. */
export interface PeerServer {
  register (method: string, handler: PeerMethod): void
  listen (address: string): Promise<void>
  close (): Promise<void>
}
