/**
 * Calls whose end at their target is not known: this side cancelled them while the target may have run them, or their answer ended with
 * its connection. A target that terminates right afterwards may have done so because of the call, though its connection was closed by then.
 * Without this, the request of a caller with a short timeout would never be detected.
 */
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import { processKey } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'

/**
 * Milliseconds after a call was abandoned in which a termination of its target is attributed to it. Targets terminate
 * within 0.2 s of running such a request.
 */
const ATTRIBUTION_WINDOW_MS = 1_000
/**
 * Milliseconds after an answer that ended with its connection in which a later request confirms it; by then a terminated target cannot have
 * restarted under its id.
 */
const CONFIRMATION_WINDOW_MS = 500
/** Maximum number of stored calls: more than all VMs of a small fleet have open. */
const MAX_CALLS = 1_000

type Process = Pick<TargetView, 'id' | 'startedAt'>

/** What is stored of a call; its body may be large. */
export interface CallIdentity {
  readonly requestId: string
  readonly digest: string
  /** Digests of the parts of its prompt that other requests may have too. */
  readonly partDigests: readonly string[]
}

/** A call whose answer ended with its connection. */
export interface UnconfirmedAnswer extends CallIdentity {
  /** Whether the answer counts for other requests with its digest. */
  readonly isEligible: boolean
}

interface AbandonedCall {
  readonly process: string
  readonly call: CallIdentity | UnconfirmedAnswer
  readonly at: number
}

/** Abandoned calls of one VM. Times are monotonic milliseconds. */
export class AbandonedCalls {
  private calls: AbandonedCall[] = []

  /**
   * Stores an abandoned call.
   * @param target - where it may have run
   */
  add (call: CallIdentity | UnconfirmedAnswer, target: Process, mono: number): void {
    this.calls = [...this.calls.filter(({ at }) => mono - at <= ATTRIBUTION_WINDOW_MS).slice(1 - MAX_CALLS), { process: processNameOf(target), call, at: mono }]
  }

  /** Whether a call on this target was abandoned recently. */
  has (target: Process): boolean {
    return this.calls.some(({ process }) => process === processNameOf(target))
  }

  /**
   * Removes and returns the answers that a target survived.
   * @param sentAt - when a later request was sent that the target has answered
   */
  removeConfirmed (target: Process, sentAt: number): readonly UnconfirmedAnswer[] {
    const name = processNameOf(target)
    const confirmed = new Set(this.calls.filter(({ process, call, at }) => process === name && isUnconfirmedAnswer(call) && at < sentAt && sentAt - at <= CONFIRMATION_WINDOW_MS))
    if (confirmed.size > 0) this.calls = this.calls.filter(call => !confirmed.has(call))
    return [...confirmed].map(({ call }) => call).filter(isUnconfirmedAnswer)
  }

  /**
   * Removes and returns the calls abandoned shortly before a target terminated.
   * @param endedAt - when the termination was detected
   */
  removeFor (target: Process, endedAt: number): readonly CallIdentity[] {
    const name = processNameOf(target)
    const attributed = this.calls.filter(({ process, at }) => process === name && endedAt - at <= ATTRIBUTION_WINDOW_MS)
    this.calls = this.calls.filter(({ process }) => process !== name)
    return attributed.map(({ call }) => call)
  }
}

function isUnconfirmedAnswer (call: CallIdentity | UnconfirmedAnswer): call is UnconfirmedAnswer {
  return 'isEligible' in call
}

function processNameOf ({ id, startedAt }: Process): string {
  return processKey({ target: id, startedAt })
}
