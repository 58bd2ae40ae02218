/**
 * Decides which requests a VM that drains may still send to a target. For a time it goes on serving callers that do not know of the drain yet.
 * Later it sends only requests that are answered, at the latest by their deadline, before it cuts open answers.
 */
import { Failure } from '../codes/failure.js'

/** Retry-After of a refused call; other VMs can serve it at once. */
const RETRY_MS = 100

/** Times of a drain, in monotonic milliseconds. */
export interface DrainTimes {
  /** Until then requests are sent whatever their deadline. */
  readonly lingerUntil: number
  /** When open answers are cut. */
  readonly cutAt: number
}

export class DrainLimit {
  private times: DrainTimes | undefined
  private isClosed = false

  begin (times: DrainTimes): void {
    this.times = times
  }

  /** Refuses all calls from now on, as the process is about to end. */
  close (): void {
    this.isClosed = true
  }

  /**
   * Why a call may not be sent now; undefined if it may. It has not run if no earlier attempt has.
   * @param now - monotonic milliseconds
   * @param deadline - of the call, in monotonic milliseconds
   */
  refusal (now: number, deadline: number): Failure | undefined {
    if (this.isClosed) return refusalOf('this VM ends')
    if (now <= this.latestSend(deadline)) return undefined
    return refusalOf('this VM ends before the deadline of the call')
  }

  /**
   * Latest time at which a call may be sent, in monotonic milliseconds.
   * @param deadline - of the call, in monotonic milliseconds
   */
  latestSend (deadline: number): number {
    const { lingerUntil = Infinity, cutAt = Infinity } = this.times ?? {}
    return deadline <= cutAt ? Infinity : lingerUntil
  }
}

function refusalOf (detail: string): Failure {
  return new Failure('draining', detail, { ran: 'no', retryAfterMs: RETRY_MS })
}
