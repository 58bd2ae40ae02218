/**
 * Caller steps: requests, repeats and loads, retried at several VMs in turn.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RequestSpec } from '../callers/callerTypes.js'
import type { TestCaller } from '../callers/testCaller.js'
import type { Fleet } from '../fleet/fleet.js'
import type { Expectation, LoadStep, RepeatStep, RequestStep } from '../language/scenarioSchema.js'
import { describeOutcome, fitsExpectation, mayRetry } from './outcomeText.js'
import type { NamedRequest, RequestBook } from './requestBook.js'

const RETRY_PAUSE_MS = 100
const LONGEST_RETRY_PAUSE_MS = 5_000

/** How a request is retried and what outcome is expected. */
interface Tries {
  readonly vm: readonly string[]
  readonly retries: number
  readonly followRetryAfter: boolean
  readonly expect: Expectation
}

export interface LoadProgress {
  answered: number
  ended: number
}

export class RequestSteps {
  readonly loads = new Map<string, LoadProgress>()

  constructor (private readonly fleet: Fleet, private readonly caller: TestCaller, private readonly book: RequestBook) {}

  async request (step: RequestStep): Promise<void> {
    await this.insist(step.as, this.book.add(step.as, this.book.specOf(step)), step)
  }

  async repeat (step: RepeatStep): Promise<void> {
    await this.insist(step.as, this.book.repeat(step.of, step.as, step.otherBody), step)
  }

  /** Sends many requests, `parallel` at a time. */
  async load (step: LoadStep): Promise<void> {
    const progress = { answered: 0, ended: 0 }
    this.loads.set(step.as, progress)
    let next = 0
    const worker = async (): Promise<void> => {
      while (next < step.count) {
        const index = next++
        await this.loadOne(step, index, progress)
        if (step.pauseMs > 0) await sleep(step.pauseMs)
      }
    }
    await Promise.all(Array.from({ length: step.parallel }, worker))
  }

  private async loadOne (step: LoadStep, index: number, progress: LoadProgress): Promise<void> {
    const name = `${step.as}-${index}`
    const request = this.book.add(name, this.book.loadSpecOf(step, index))
    const vms = step.vm.map((_, place) => step.vm[(index + place) % step.vm.length]!)
    await this.insist(name, request, { ...step, vm: vms })
    progress.ended++
    if (fitsExpectation(request.asks.at(-1), 'answered')) progress.answered++
  }

  private async insist (name: string, request: NamedRequest, tries: Tries): Promise<void> {
    await this.ask(request, tries)
    const last = request.asks.at(-1)
    if (fitsExpectation(last, tries.expect)) return
    const all = request.asks.map(describeOutcome).join(', ')
    throw new Error(`request ${name} was expected to be ${JSON.stringify(tries.expect)}, but: ${all}`)
  }

  private async ask (request: NamedRequest, tries: Tries): Promise<void> {
    for (let number = 0; number <= tries.retries; number++) {
      const vm = tries.vm[number % tries.vm.length]!
      const ask = await this.once(request, request.spec, vm)
      if (!mayRetry(ask) || number === tries.retries) return
      const wanted = tries.followRetryAfter ? ask.refusal?.retryAfterMs ?? RETRY_PAUSE_MS : RETRY_PAUSE_MS
      await sleep(Math.min(wanted, LONGEST_RETRY_PAUSE_MS))
    }
  }

  private async once (request: NamedRequest, spec: RequestSpec, vm: string) {
    return await this.caller.ask(spec, vm, this.fleet.vm(vm).callersUrl, ask => { request.asks.push(ask) })
  }
}
