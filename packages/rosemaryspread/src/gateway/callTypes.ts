/**
 * Types of call dispatch: a call with an opaque payload, its answer, and the ports to targets, target
 * choice and callers. Each protocol adapter translates to these types.
 */
import type { Either } from 'purify-ts'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { GatewayRoute } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import type { Suspicion, TargetChoice } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { KnownVersion } from '@rosemaryspread/decisions/streams/streamVersion.js'
import type { OpenCall } from './openCall.js'
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'

/** A header as received; names may repeat. */
export type HeaderPair = readonly [name: string, value: string]

/** Where a caller resumes a stream of an earlier request. */
export interface Resumption {
  /** Id of the request that brought the first event of the stream; absent if the caller does not name it. */
  readonly requestId?: string
  /** Id of the last event that the caller received. */
  readonly after: string
}

export interface OpaqueCall {
  readonly requestId: string
  readonly method: string
  /** Path with its query, as sent. */
  readonly path: string
  /** Headers that are forwarded unchanged. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  readonly promptTokens: number
  /** Upper bound of the answer, in tokens. */
  readonly maxTokens: number
  /** Set for a request that resumes a stream. */
  readonly resumption?: Resumption
  readonly receivedAt: Instant
  /** Aborted when the caller disconnects. */
  readonly gone: AbortSignal
}

/** How a call may be dispatched; see the route of the gateway configuration. */
export interface DispatchPolicy extends Pick<GatewayRoute, 'name' | 'repeat' | 'streamed' | 'objectiveMs' | 'attempts'> {
  /** Whether a server error of a target may be retried at another target; otherwise it is the answer. */
  readonly retriesFailures: boolean
}

/** A call that passed admission. */
export interface AdmittedCall {
  readonly call: OpaqueCall
  readonly route: DispatchPolicy
  readonly service: string
  /** Undefined on a route that needs no key. */
  readonly team: string | undefined
  /** Whether the call is charged to the team's token budget. */
  readonly isPrepaid: boolean
  readonly priority: number
  readonly tokensPerEvent: number
  /** Requests per second that all VMs together may send to a target of the service while it warms up; absent for no limit. */
  readonly warmUpPerS?: number
  /** Ids of all parts of the prompt but the last, which is specific to the request. */
  readonly promptParts: readonly string[]
  /** Those by which targets are chosen; empty without affinity. */
  readonly sharedParts: readonly string[]
  /** Tokens of the shared parts. */
  readonly sharedTokens: number
  /** Monotonic milliseconds; the earlier of the limits of caller and route. */
  readonly deadline: number
}

/** Status and headers of a target's answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: readonly HeaderPair[]
}

/** Receives the answer of one call. Exactly one of `whole`, `end`, `cut` and `refuse` ends it. */
export interface CallSink {
  /** Whether anything was sent. */
  readonly isStarted: boolean
  /** Sends a complete answer; a returned promise resolves when its bytes are no longer held. */
  whole (head: AnswerHead, body: Buffer): Promise<void> | void
  /** Starts a streamed answer. */
  head (head: AnswerHead): void
  /** Sends a chunk; a returned promise resolves when the caller has read enough for the next (backpressure). */
  chunk (bytes: Buffer): Promise<void> | undefined
  /** Ends a complete stream. */
  end (): void
  /** Ends a stream such that the caller can detect that it is incomplete. */
  cut (): void
  /** Sends a failure as the answer; only while nothing was sent. */
  refuse (failure: Failure): void
}

export interface TargetRequest {
  readonly service: string
  readonly target: Pick<TargetView, 'id' | 'address'>
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  /** Milliseconds left for the complete answer. */
  readonly timeoutMs: number
  readonly team: string | undefined
  /** 0 is the most urgent. */
  readonly priority: number
  /** Id of the last event that the caller received, when a stream is resumed. */
  readonly resumeAfter: string | undefined
  /** Whether the request may be broken off without an answer and sent again. */
  readonly isRepeatable: boolean
}

export interface TargetAnswer {
  readonly head: AnswerHead
  /**
   * Reads the body to its end.
   * @param onBytes - receives each chunk; reading waits for the returned promise
   */
  read (onBytes: (bytes: Buffer) => Promise<void> | undefined): Promise<Either<Failure, void>>
}

/**
 * Sends requests to targets. A failure with `ran: no` proves that the target did not run the request, if it has a code of which
 * `executionProof.ts` knows what it shows; with any other code the request may have run. `runnerUnreachable` with `ran: no` means that
 * the request did not arrive.
 */
export interface TargetClient {
  /**
   * Sends a request; resolves with the head of the answer.
   * @param stop - aborted to end the exchange with the target
   * @param onReport - called with the state that the target reports, once the head of its answer has arrived
   */
  send (req: TargetRequest, stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>>
}

/** Checks whether a process listens at the address of a target. */
export interface TargetProbe {
  /**
   * Whether a connection is refused; false when it is accepted, or when neither is known within the timeout.
   * @param address - IPv4:port
   */
  isRefused (address: string, timeoutMs: number): Promise<boolean>
  /**
   * Whether a connection is accepted within the timeout.
   * @param address - IPv4:port
   */
  canConnect (address: string, timeoutMs: number): Promise<boolean>
}

/** Tells the termination of a target from a lost path to it. */
export interface TargetEndProbe {
  /**
   * Whether a target has terminated: its address refuses connections, and other targets of its service do not.
   * @param address - IPv4:port
   */
  isTerminated (address: string, service: string, timeoutMs: number): Promise<boolean>
}

/** What the outcome of a request says about its target. */
export type TargetVerdict = 'good' | 'failed' | 'unreachable' | 'terminated' | 'none'

/** Chooses targets and tracks the outcome of each choice. */
export interface TargetChooser {
  /**
   * Chooses a target.
   * @param exclude - ids of targets tried already
   * @param suspicion - set for a request that may have terminated targets
   * @param version - software version of the stream that the request resumes; absent if any may serve it
   */
  choose (admitted: AdmittedCall, exclude: ReadonlySet<string>, suspicion?: Suspicion, version?: string): Either<Failure, TargetChoice>
  /** Why no target of the service accepts requests; undefined if one does. */
  refusal (admitted: AdmittedCall): Failure | undefined
  /** Records that the request is sent; returns a ticket for {@link endPrefill}. */
  sent (choice: TargetChoice, admitted: AdmittedCall): number
  /**
   * Records that the target started its answer, or that the request ended without one.
   * @param ticket - returned by {@link sent}
   */
  endPrefill (choice: TargetChoice, ticket: number, isAnswered: boolean): void
  /** Records the state that the target sent with its answer. */
  recordReport (choice: TargetChoice, report: TargetReport): void
  /** Records that the target refused the request for want of room; called before {@link ended}. */
  refused (choice: TargetChoice): void
  /**
   * Waits until a place at a target may be free; resolves to false if the call must not wait any longer.
   * @param maxWaitMs - milliseconds, if the call may not wait as long as its route allows
   */
  untilRoom (admitted: AdmittedCall, maxWaitMs: number): Promise<boolean>
  /** Records the end of the attempt; called once for each {@link sent}. */
  ended (choice: TargetChoice, verdict: TargetVerdict): void
}

/** Knows which software versions began streams. */
export interface StreamOrigins {
  /** Records that the first event of a stream that may be resumed was relayed, or that a resumed stream goes on. */
  began (admitted: AdmittedCall, version: string): void
  /** Version that began the stream which a call resumes; `streamUnknown` if it is not known. */
  versionOf (admitted: AdmittedCall): Promise<Either<Failure, KnownVersion>>
}

/** An answer that a target served. */
export interface ServedAnswer {
  /** Whether a length or chunks mark its end; otherwise it ends with its connection, also if the target terminates. */
  readonly isDelimited: boolean
  /** When the request was sent, in monotonic milliseconds. */
  readonly sentAt: number
}

/** Protects targets from requests that terminate them. */
export interface CallGuard {
  /** Called when a call starts. */
  opened (call: OpenCall): void
  /** Called when a call has ended. */
  closed (call: OpenCall): void
  /** Why a call must not be sent to any target; undefined if it may be sent. */
  refusal (call: OpenCall): Failure | undefined
  /** Suspicion against a call that may still be sent, if any. */
  suspicion (call: OpenCall): Suspicion | undefined
  /** Handles an attempt that broke off without an answer; resolves to whether the target terminated. */
  handleBroken (call: OpenCall, choice: TargetChoice): Promise<boolean>
  /** Handles an attempt that this VM aborted without an answer, as the caller disconnected or the deadline passed. */
  left (call: OpenCall, choice: TargetChoice): void
  /** Called when a target was absent. */
  targetAbsent (choice: TargetChoice): void
  /** Called when a target served the call. */
  answered (call: OpenCall, choice: TargetChoice, answer: ServedAnswer): void
}

/** The place of a call that was admitted under load. */
export interface CallPlace {
  /** Records that the call is sent to a target. */
  sent (): void
  /** Records that its first output was relayed. */
  firstOutput (): void
  /** Records its end; called once. */
  ended (): void
}

/** Orders and refuses calls under load. */
export interface LoadAdmission {
  /** Waits until the call may be sent; fails if its turn would come too late, or if its caller disconnects meanwhile. */
  admit (admitted: AdmittedCall): Promise<Either<Failure, CallPlace>>
}

/** Limits retries. */
export interface CallRetries {
  /** Counts a first attempt towards the retry budget of a service. */
  recordFirstAttempt (service: string, now: Instant): void
  /** Consumes one retry from the budget of a service; false if it is exhausted. */
  tryAcquire (service: string, now: Instant): boolean
}
