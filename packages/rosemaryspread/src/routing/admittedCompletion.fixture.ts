/** An admitted completion for routing specs. */
import type { AdmittedCompletion } from '../completion/completionAdmission.js'

/** @param overrides - fields that differ from the defaults */
export function admittedCompletion (requestId: string, overrides: { readonly team?: string, readonly keyed?: boolean, readonly deadlineMs?: number, readonly maxInFlight?: number } = {}): AdmittedCompletion {
  const { team = 't', keyed = false, deadlineMs = 10_000, maxInFlight = 64 } = overrides
  return {
    requestId,
    keyed,
    team,
    teamConfig: { displayName: '', keyHashes: [], budget: 'b', models: [], services: [], weight: 1, maxInFlight },
    budget: 'b',
    model: 'm',
    digest: '',
    messages: [],
    promptTokens: 10,
    maxTokens: 10,
    deadline: { mono: deadlineMs, wall: deadlineMs }
  }
}
