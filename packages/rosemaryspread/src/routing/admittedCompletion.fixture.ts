/**
 * A completion as routing gets it, for specs.
 */
import type { AdmittedCompletion } from '../completion/completionAdmission.js'

/**
 * A completion that was admitted.
 * @param requestId - id of the request
 * @param over - what is different from the usual one
 */
export function admittedCompletion (requestId: string, over: { readonly team?: string, readonly keyed?: boolean, readonly deadlineMs?: number, readonly maxInFlight?: number } = {}): AdmittedCompletion {
  const { team = 't', keyed = false, deadlineMs = 10_000, maxInFlight = 64 } = over
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
