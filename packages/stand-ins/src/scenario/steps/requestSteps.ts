/**
 * Caller steps: requests, repeats and loads, retried at several VMs in turn.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RequestSpec } from '../callers/callerTypes.js'
import type { TestCaller } from '../callers/testCaller.js'
import type { Fleet } from '../fleet/fleet.js'
import type { Expectation, LoadStep, RepeatStep, RequestStep } from '../language/scenarioSchema.js'
import { describeOutcome, meetsExpectation, isRetryable } from './outcomeText.js'
import type { NamedRequest, RequestRegistry } from './requestRegistry.js'

const RETRY_PAUSE_MS = 100
const MAX_RETRY_PAUSE_MS = 5_000

/** How a request is retried and what outcome is expected. */
interface RetryOptions {
  readonly vm: readonly string[]
  readonly retries: number
  readonly followRetryAfter: boolean
  readonly expect: Expectation
}

/** Requests of a load so far; `ended` includes those that were answered. */
export interface LoadProgress {
  answered: number
  ended: number
}

export class RequestSteps {
  readonly loads = new Map<string, LoadProgress>()

  constructor (private readonly fleet: Fleet, private readonly caller: TestCaller, private readonly registry: RequestRegistry) {}

  async request (step: RequestStep): Promise<void> {
    await this.sendAndCheck(step.as, this.registry.add(step.as, this.registry.createSpec(step)), step)
  }

  async repeat (step: RepeatStep): Promise<void> {
    await this.sendAndCheck(step.as, this.registry.repeat(step.of, step.as, step.otherBody), step)
  }

  /** Sends many requests, `parallel` at a time. */
  async load (step: LoadStep): Promise<void> {
    const progress = { answered: 0, ended: 0 }
    this.loads.set(step.as, progress)
    let next = 0
    const worker = async (): Promise<void> => {
      while (next < step.count) {
        const index = next++
        await this.sendOne(step, index, progress)
        if (step.pauseMs > 0) await sleep(step.pauseMs)
      }
    }
    await Promise.all(Array.from({ length: step.parallel }, worker))
  }

  private async sendOne (step: LoadStep, index: number, progress: LoadProgress): Promise<void> {
    const name = `${step.as}-${index}`
    const request = this.registry.add(name, this.registry.createLoadSpec(step, index))
    const vms = step.vm.map((_, offset) => step.vm[(index + offset) % step.vm.length]!)
    await this.sendAndCheck(name, request, { ...step, vm: vms })
    progress.ended++
    if (meetsExpectation(request.attempts.at(-1), 'answered')) progress.answered++
  }

  private async sendAndCheck (name: string, request: NamedRequest, options: RetryOptions): Promise<void> {
    await this.ask(request, options)
    const last = request.attempts.at(-1)
    if (meetsExpectation(last, options.expect)) return
    const all = request.attempts.map(describeOutcome).join(', ')
    throw new Error(`request ${name} was expected to be ${JSON.stringify(options.expect)}, but: ${all}`)
  }

  /** Sends a request until it succeeds, cannot be retried or has no retries left. */
  private async ask (request: NamedRequest, options: RetryOptions): Promise<void> {
    for (let retry = 0; retry <= options.retries; retry++) {
      const vm = options.vm[retry % options.vm.length]!
      const attempt = await this.once(request, request.spec, vm)
      if (!isRetryable(attempt) || retry === options.retries) return
      const pauseMs = options.followRetryAfter ? attempt.refusal?.retryAfterMs ?? RETRY_PAUSE_MS : RETRY_PAUSE_MS
      await sleep(Math.min(pauseMs, MAX_RETRY_PAUSE_MS))
    }
  }

  private async once (request: NamedRequest, spec: RequestSpec, vm: string) {
    return await this.caller.ask(spec, vm, this.fleet.vm(vm).callersUrl, ask => { request.attempts.push(ask) })
  }
}
