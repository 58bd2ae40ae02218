/**
 * Operator steps: patches and top-ups, repeated under the same id while the outcome is unknown.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { OperatorOutcome } from '../callers/testOperator.js'
import type { Fleet } from '../fleet/fleet.js'
import type { PatchStep, TopUpStep } from '../language/scenarioSchema.js'

const RETRY_PAUSE_MS = 200

export class OperatorSteps {
  constructor (private readonly fleet: Fleet) {}

  async patch (step: PatchStep): Promise<void> {
    const url = this.fleet.vm(step.vm).operatorsUrl
    const base = step.base ?? await this.fleet.operator.version(url)
    if (base === undefined) throw new Error(`VM ${step.vm} returned no configuration version to patch`)
    const call = { base, patchId: step.id, patch: step.ops }
    await this.sendAndCheck(`patch ${step.id}`, step, async () => await this.fleet.operator.patch(url, call))
    for (const runner of step.ops.flatMap(leavingRunners)) this.fleet.addRecord({ kind: 'runnerLeaving', at: Date.now(), runner })
  }

  async topUp (step: TopUpStep): Promise<void> {
    const url = this.fleet.vm(step.vm).operatorsUrl
    await this.sendAndCheck(`top-up ${step.id}`, step, async () => await this.fleet.operator.topUp(url, step.budget, step.id, step.tokens))
  }

  private async sendAndCheck (description: string, step: PatchStep | TopUpStep, call: () => Promise<OperatorOutcome>): Promise<void> {
    const outcomes: OperatorOutcome[] = []
    for (let retry = 0; retry <= step.retries; retry++) {
      if (retry > 0) await sleep(RETRY_PAUSE_MS)
      const outcome = await call()
      outcomes.push(outcome)
      if (isAccepted(outcome) || isFinal(outcome)) break
    }
    const last = outcomes.at(-1)
    const actual = last !== undefined && isAccepted(last) ? 'accepted' : 'refused'
    if (step.expect === 'any' || step.expect === actual) return
    throw new Error(`${description} was expected to be ${step.expect}, but: ${outcomes.map(({ status, name }) => `${status} ${name ?? ''}`).join(', ')}`)
  }
}

function isAccepted ({ status }: OperatorOutcome): boolean {
  return status >= 200 && status < 300
}

/** Whether a retry under the same id cannot change the outcome. */
function isFinal ({ status }: OperatorOutcome): boolean {
  return status >= 400 && status < 500
}

/** The runner that a patch operation sets to leaving, if any. */
function leavingRunners (op: Readonly<Record<string, unknown>>): readonly string[] {
  const runner = /\/runners\/([^/]+)\/state$/.exec(String(op['path']))?.[1]
  return runner === undefined || op['value'] !== 'leaving' ? [] : [runner]
}
