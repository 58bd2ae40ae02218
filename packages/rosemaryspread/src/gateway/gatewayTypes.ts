/**
 * What goes through the gateway: a call with an opaque payload, the answer as it comes back, and
 * the ports to targets and callers. The edges translate their own protocols to these types.
 */
import type { Either, Maybe } from 'purify-ts'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'

/** A header as it came; names may repeat. */
export type HeaderPair = readonly [name: string, value: string]

/** One part of a prompt, in the order of the prompt. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** A request of a caller. */
export interface GatewayCall {
  readonly requestId: string
  readonly method: string
  readonly host: string
  /** Path with its query, as sent. */
  readonly path: string
  readonly key: string | undefined
  /** Headers that are passed on unchanged. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Milliseconds that the caller waits, from `receivedAt`. */
  readonly timeoutMs: number | undefined
  readonly promptTokens: number
  /** Most tokens of the answer. */
  readonly maxTokens: number
  readonly promptParts: readonly PromptPart[]
  readonly receivedAt: Instant
  /** Aborted when the caller goes away. */
  readonly gone: AbortSignal
}

/** Status and headers of an answer of a target. */
export interface AnswerHead {
  readonly status: number
  readonly headers: readonly HeaderPair[]
}

/** Where the answer of one call goes. Exactly one of `end`, `cut` and `refuse` ends it. */
export interface GatewaySink {
  /** Whether something was sent already. */
  readonly begun: boolean
  /** Sends a whole answer. */
  whole (head: AnswerHead, body: Buffer): void
  /** Begins a streamed answer. */
  head (head: AnswerHead): void
  /** Sends a piece; a promise asks to wait until the caller has read. */
  piece (bytes: Buffer): Promise<void> | undefined
  /** Ends a complete stream. */
  end (): void
  /** Ends a stream so that it cannot be taken for complete. */
  cut (): void
  refuse (failure: Failure): void
}

/** One request to one target. */
export interface TargetRequest {
  readonly target: TargetView
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Milliseconds that are left for the whole answer. */
  readonly timeoutMs: number
  readonly team: string | undefined
  /** 0 is the most urgent. */
  readonly priority: number
  /** Id of the last event that the caller has, where a stream goes on. */
  readonly resumeAfter: string | undefined
  /** Whether the request must not reach a target that may have closed the connection meanwhile. */
  readonly runsOnce: boolean
}

/** The answer of a target as it arrives. */
export interface TargetAnswer {
  readonly head: AnswerHead
  /**
   * Reads the body to its end.
   * @param onBytes - takes each piece; reading waits for its promise
   */
  read (onBytes: (bytes: Buffer) => Promise<void> | undefined): Promise<Either<Failure, void>>
}

/**
 * Sends requests to targets. A failure with `ran: no` is proof that the target did not run the
 * request; `runnerUnreachable` with `ran: no` means that nothing arrived there.
 */
export interface TargetClient {
  /**
   * Sends a request; resolves with the head of the answer.
   * @param req - the request
   * @param stop - aborted to end the exchange with the target
   */
  send (req: TargetRequest, stop: AbortSignal): Promise<Either<Failure, TargetAnswer>>
}

/** Targets of each service. */
export interface TargetDirectory {
  serving (service: string): readonly TargetView[]
}

/** The gateway's configuration in force. */
export interface CurrentGatewayConfig {
  current (): Maybe<GatewayConfig>
}
