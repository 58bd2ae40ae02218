/**
 * Runs the steps of a scenario in order; the steps of a `race` run concurrently.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { TestCaller } from '../callers/testCaller.js'
import type { Fleet } from '../fleet/fleet.js'
import { waitFor } from '../fleet/waitFor.js'
import type { FleetDefinition, Step } from '../language/scenarioSchema.js'
import { Conditions } from './conditions.js'
import { OperatorSteps } from './operatorSteps.js'
import { RequestRegistry } from './requestRegistry.js'
import { RequestSteps } from './requestSteps.js'

/** Failure of a step, with its line in the scenario file. */
export class StepError extends Error {
  constructor (readonly line: number, cause: unknown) {
    super(`line ${line}: ${cause instanceof Error ? cause.message : String(cause)}`)
  }
}

export class StepRunner {
  private readonly requests: RequestSteps
  private readonly operators: OperatorSteps
  private readonly conditions: Conditions
  private readonly background: Array<Promise<unknown>> = []
  private readonly backgroundErrors: unknown[] = []

  constructor (private readonly fleet: Fleet, caller: TestCaller, definition: FleetDefinition) {
    const registry = new RequestRegistry(definition)
    this.requests = new RequestSteps(fleet, caller, registry)
    this.operators = new OperatorSteps(fleet)
    this.conditions = new Conditions(fleet, registry, this.requests)
  }

  /** Runs steps one after another; rejects with a `StepError`. */
  async run (steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      await this.step(step).catch((err: unknown) => { throw err instanceof StepError ? err : new StepError(step.line, err) })
    }
  }

  /** Waits for all background steps; throws the first error among them. */
  async finish (): Promise<void> {
    await Promise.all(this.background)
    if (this.backgroundErrors.length > 0) throw this.backgroundErrors[0]
  }

  private async step (step: Step): Promise<void> {
    switch (step.verb) {
      case 'race': return await this.race(step.value)
      case 'request': return await this.runOrBackground(step, async () => await this.requests.request(step.value))
      case 'repeat': return await this.runOrBackground(step, async () => await this.requests.repeat(step.value))
      case 'load': return await this.runOrBackground(step, async () => await this.requests.load(step.value))
      case 'patch': return await this.operators.patch(step.value)
      case 'topUp': return await this.operators.topUp(step.value)
      case 'wait': return await sleep(step.value)
      case 'until': return await this.until(step.value)
      case 'expect': return await this.expect(step.value)
      default: return await this.fault(step)
    }
  }

  private async fault (step: Exclude<Step, { verb: 'race' }>): Promise<void> {
    const { fleet } = this
    switch (step.verb) {
      case 'start': return await forEachConcurrently(step.value, async vm => await fleet.startVm(vm))
      case 'kill': return await forEachConcurrently(step.value, async vm => await fleet.killVm(vm))
      case 'stop': return await forEachConcurrently(step.value, async vm => await fleet.stopVm(vm))
      case 'freeze': return step.value.forEach(vm => fleet.freezeVm(vm))
      case 'thaw': return step.value.forEach(vm => fleet.thawVm(vm))
      case 'cut': return await fleet.network.cut(step.value)
      case 'heal': return await fleet.healAll()
      case 'outage': return await forEachConcurrently(Object.entries(step.value), async ([name, outage]) => await fleet.setOutage(name, outage))
      case 'slow': return await forEachConcurrently(Object.entries(step.value), async ([name, slowMs]) => await fleet.standIn(name).control({ slowMs }))
      case 'loseAnswer': return await forEachConcurrently(Object.entries(step.value), async ([name, loseAnswers]) => await fleet.standIn(name).control({ loseAnswers }))
      case 'misbehave': return await forEachConcurrently(Object.entries(step.value), async ([name, faults]) => await fleet.standIn(name).control(faults))
      case 'leave': return await forEachConcurrently(step.value, async name => await fleet.standIn(name).control({ leaving: true }))
    }
  }

  private async runOrBackground (step: Extract<Step, { verb: 'request' | 'repeat' | 'load' }>, work: () => Promise<void>): Promise<void> {
    if (!step.value.background) return await work()
    this.background.push(work().catch((err: unknown) => { this.backgroundErrors.push(new StepError(step.line, err)) }))
  }

  private async race (steps: readonly Step[]): Promise<void> {
    await Promise.all(steps.map(async step => await this.run([step])))
  }

  private async until ({ withinMs, ...condition }: Extract<Step, { verb: 'until' }>['value']): Promise<void> {
    let unmet: readonly string[] = []
    await waitFor('a condition', withinMs, async () => {
      unmet = await this.conditions.unmet(condition)
      return unmet.length === 0
    }).catch((err: unknown) => { throw new Error(`${(err as Error).message}: ${unmet.join('; ')}`) })
  }

  private async expect (condition: Extract<Step, { verb: 'expect' }>['value']): Promise<void> {
    const unmet = await this.conditions.unmet(condition)
    if (unmet.length > 0) throw new Error(unmet.join('; '))
  }
}

async function forEachConcurrently<Value> (values: readonly Value[], work: (value: Value) => Promise<void>): Promise<void> {
  await Promise.all(values.map(work))
}
