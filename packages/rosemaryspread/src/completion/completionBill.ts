/**
 * What a run costs. A runner's figure is never taken beyond the reservation: the cap was sent
 * with the request, so anything above it is the runner's fault and not the team's debt.
 */
import type { Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Usage } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { AdmittedCompletion } from './completionAdmission.js'

/**
 * Bill of a run whose usage is known.
 * @param admitted - the request
 * @param runner - where it ran
 * @param usage - tokens by the engine's report
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

/**
 * Bill of nothing: closes a run that the system failed, so that recovery does not bill it later.
 * @param admitted - the request
 * @param runner - where it ran
 */
export function freeBill (admitted: AdmittedCompletion, runner: string): Bill {
  return billOf(admitted, runner, { promptTokens: 0, completionTokens: 0 })
}

function cappedTokens (admitted: AdmittedCompletion, usage: Usage): number {
  const prompt = Math.min(usage.promptTokens, admitted.promptTokens)
  const completion = Math.min(usage.completionTokens, admitted.maxTokens)
  return prompt + completion
}
