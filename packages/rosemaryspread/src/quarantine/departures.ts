/**
 * Calls that this side cancelled while a target may have run them. A target that terminates right afterwards may have
 * done so because of the call, though its connection was closed by then. Without this, the request of a caller with a
 * short timeout would never be detected.
 */
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import { processOf } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'

/**
 * Milliseconds after a call was abandoned in which a termination of its target is attributed to it. Targets terminate
 * within 0.2 s of running such a request.
 */
const HELD_MS = 1_000
/** Calls remembered: more than all VMs of a small fleet have open. */
const MOST_KEPT = 1_000

type Process = Pick<TargetView, 'id' | 'startedAt'>

/** What is stored of a call; its body may be large. */
export interface NamedCall {
  readonly requestId: string
  readonly digest: string
}

interface Departure {
  readonly process: string
  readonly call: NamedCall
  readonly at: number
}

/** Abandoned calls of one VM. Times are monotonic milliseconds. */
export class Departures {
  private kept: Departure[] = []

  /**
   * Remembers an abandoned call.
   * @param target - where it may have run
   */
  add (call: NamedCall, target: Process, mono: number): void {
    this.kept = [...this.kept.filter(({ at }) => mono - at <= HELD_MS).slice(1 - MOST_KEPT), { process: nameOf(target), call, at: mono }]
  }

  /** Whether a call on this target was abandoned recently. */
  has (target: Process): boolean {
    return this.kept.some(({ process }) => process === nameOf(target))
  }

  /**
   * Removes and returns the calls abandoned shortly before a target terminated.
   * @param endedAt - when the termination was detected
   */
  take (target: Process, endedAt: number): readonly NamedCall[] {
    const name = nameOf(target)
    const taken = this.kept.filter(({ process, at }) => process === name && endedAt - at <= HELD_MS)
    this.kept = this.kept.filter(({ process }) => process !== name)
    return taken.map(({ call }) => call)
  }
}

function nameOf ({ id, startedAt }: Process): string {
  return processOf({ target: id, startedAt })
}
