/**
 * Computes the bill of a run. Reported usage is clamped to the reservation: the cap was sent with
 * the request, so a runner that exceeds it is faulty and the team does not pay for the excess.
 */
import type { Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Usage } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { AdmittedCompletion } from './completionAdmission.js'

/**
 * Bill for the usage of a run.
 * @param usage - tokens as reported by the engine
 */
export function billOf (admitted: AdmittedCompletion, runner: string, usage: Usage): Bill {
  return {
    requestId: admitted.requestId,
    budget: admitted.budget,
    team: admitted.team,
    tokens: cappedTokens(admitted, usage),
    runner
  }
}

/** Bill of 0 tokens for a run that failed through no fault of the team; it keeps recovery from billing the run later. */
export function zeroBill (admitted: AdmittedCompletion, runner: string): Bill {
  return billOf(admitted, runner, { promptTokens: 0, completionTokens: 0 })
}

function cappedTokens (admitted: AdmittedCompletion, usage: Usage): number {
  const prompt = Math.min(usage.promptTokens, admitted.promptTokens)
  const completion = Math.min(usage.completionTokens, admitted.maxTokens)
  return prompt + completion
}
