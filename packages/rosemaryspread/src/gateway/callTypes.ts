/**
 * What goes through dispatch: a call with an opaque payload, the answer as it comes back, and the
 * ports to targets, their choice, and callers. The edges translate their own protocols to these types.
 */
import type { Either } from 'purify-ts'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { GatewayRoute } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import type { Suspicion, TargetChoice } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { OpenCall } from './callOpen.js'
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'

/** A header as it came; names may repeat. */
export type HeaderPair = readonly [name: string, value: string]

/** A request of a caller. */
export interface OpaqueCall {
  readonly requestId: string
  readonly method: string
  /** Path with its query, as sent. */
  readonly path: string
  /** Headers that are passed on unchanged. */
  readonly headers: readonly HeaderPair[]
  readonly body: Buffer
  readonly promptTokens: number
  /** Most tokens of the answer. */
  readonly maxTokens: number
  readonly receivedAt: Instant
  /** Aborted when the caller goes away. */
  readonly gone: AbortSignal
}

/** What is allowed with a call; see the route of the gateway's configuration. */
export interface DispatchRule extends Pick<GatewayRoute, 'name' | 'repeat' | 'streamed' | 'objectiveMs' | 'attempts'> {
  /** Whether a failure that a target answered may be asked for again elsewhere; else it is the answer. */
  readonly repeatsFailures: boolean
}

/** A call that may be served. */
export interface AdmittedCall {
  readonly call: OpaqueCall
  readonly route: DispatchRule
  readonly service: string
  /** Absent where no key is needed. */
  readonly team: string | undefined
  /** Whether the team's tokens are counted. */
  readonly isPrepaid: boolean
  readonly priority: number
  readonly tokensPerEvent: number
  /** Requests a second that a target of the service bears from all VMs while it warms up; absent where nothing bounds them. */
  readonly warmUpPerS?: number
  /** Prompt parts that other requests have as well. */
  readonly sharedParts: readonly string[]
  /** Tokens of these parts. */
  readonly sharedTokens: number
  /** Monotonic milliseconds at which the caller or the route gives up. */
  readonly deadline: number
}

/** Status and headers of an answer of a target. */
export interface AnswerHead {
  readonly status: number
  readonly headers: readonly HeaderPair[]
}

/** Where the answer of one call goes. Exactly one of `end`, `cut` and `refuse` ends it. */
export interface CallSink {
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
  readonly target: Pick<TargetView, 'id' | 'address'>
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
   * @param onReport - told what the target says of itself as soon as the head of its answer is there
   */
  send (req: TargetRequest, stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>>
}

/** Finds out whether anything listens at the address of a target. */
export interface TargetProbe {
  /**
   * Whether a connection is refused; false when it is made, or when neither is known in time.
   * @param address - IPv4:port
   * @param timeoutMs - milliseconds until it counts as not known
   */
  isRefused (address: string, timeoutMs: number): Promise<boolean>
}

/** What the end of a request says of its target. */
export type TargetVerdict = 'good' | 'failed' | 'unreachable' | 'none'

/** Chooses targets, and is told what became of the choices. */
export interface TargetChooser {
  /**
   * Chooses a target.
   * @param admitted - the call
   * @param exclude - targets tried already
   * @param suspicion - set for a request under which targets ended
   */
  choose (admitted: AdmittedCall, exclude: ReadonlySet<string>, suspicion?: Suspicion): Either<Failure, TargetChoice>
  /**
   * Why no target of a call's service takes any request now; undefined when one does.
   * @param admitted - the call
   */
  refusal (admitted: AdmittedCall): Failure | undefined
  /** The request goes out; answers what names it on {@link begun}. */
  sent (choice: TargetChoice, admitted: AdmittedCall): number
  /**
   * The target began to answer, or the request ended without it.
   * @param choice - the choice that was followed
   * @param ticket - what {@link sent} answered
   * @param isAnswered - whether it began to answer
   */
  begun (choice: TargetChoice, ticket: number, isAnswered: boolean): void
  /**
   * The target said something of itself with an answer.
   * @param choice - the choice that was followed
   * @param report - what it said
   */
  reported (choice: TargetChoice, report: TargetReport): void
  ended (choice: TargetChoice, verdict: TargetVerdict): void
}

/** Keeps requests from targets that would end under them. */
export interface CallGuard {
  /** A call begins. */
  opened (call: OpenCall): void
  /** A call got its end. */
  closed (call: OpenCall): void
  /** Why a call may not be sent to any target; undefined when it may. */
  refusal (call: OpenCall): Failure | undefined
  /** What is held against a call that may be sent; undefined when nothing is. */
  suspicion (call: OpenCall): Suspicion | undefined
  /**
   * A call broke without an answer; resolves to whether its target ended.
   * @param call - the call
   * @param choice - the target that it was sent to
   */
  broke (call: OpenCall, choice: TargetChoice): Promise<boolean>
  /**
   * A call was broken off from here without an answer, since its caller left or its time was over.
   * @param call - the call
   * @param choice - the target that it was sent to
   */
  left (call: OpenCall, choice: TargetChoice): void
  /**
   * No connection could be made to a target.
   * @param choice - the target
   */
  unreached (choice: TargetChoice): void
  /** A target served a call. */
  answered (call: OpenCall): void
}

/** Bounds repeats. */
export interface CallRetries {
  /** Counts a request to a service. */
  requested (service: string, now: Instant): void
  /** Takes one repeat from the budget of a service; false when it is spent. */
  take (service: string, now: Instant): boolean
}
