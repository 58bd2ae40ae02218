/**
 * Continuous batching: a limited number of slots, one token per step for each run that has a slot, and
 * prompts computed one after another. The caller supplies the time in wall-clock milliseconds; a step is
 * simulated at its due time, however late `advance` is called.
 */
import type { EngineRun } from './engineRun.js'
import type { PrefixCache } from './prefixCache.js'

/** Share by which a step of a full batch is slower than a step of a single run. */
const FULL_BATCH_SLOWDOWN = 0.5
/** Lower bound of a step, so that simulated time always advances. */
const MIN_STEP_MS = 0.1

/** Capacity and speed of the batch. */
export interface BatchOptions {
  readonly slots: number
  /** Milliseconds per token of a single run. */
  msPerToken: number
  /** Milliseconds per prompt token that is not cached. */
  readonly promptMsPerToken: number
}

/** Receives the starts and ends of runs. */
export interface BatchObserver {
  started (run: EngineRun, at: number): void
  finished (run: EngineRun, at: number): void
}

/** Waiting runs and runs that have a slot. */
export class Batch {
  readonly running = new Set<EngineRun>()
  /** Ordered by priority, then by submission. */
  readonly waiting: EngineRun[] = []
  private nextStepAt: number | undefined
  private promptFreeAt = 0

  /** @param options - `msPerToken` may change while the batch runs */
  constructor (readonly options: BatchOptions, private readonly cache: PrefixCache, private readonly observer: BatchObserver) {}

  /** When the next step is due; absent while idle. */
  get dueAt (): number | undefined {
    return this.nextStepAt
  }

  /** Queues a new run by priority. */
  add (run: EngineRun, now: number): void {
    const insertAt = this.waiting.findIndex(other => other.req.priority < run.req.priority)
    this.waiting.splice(insertAt === -1 ? this.waiting.length : insertAt, 0, run)
    this.nextStepAt ??= now
  }

  /** Removes a waiting or running run. */
  remove (run: EngineRun): void {
    this.running.delete(run)
    const index = this.waiting.indexOf(run)
    if (index !== -1) this.waiting.splice(index, 1)
  }

  /** Simulates all steps due by `now`. */
  advance (now: number): void {
    while (this.nextStepAt !== undefined && this.nextStepAt <= now) this.step(this.nextStepAt)
  }

  private step (at: number): void {
    this.fillSlots(at)
    for (const run of this.running) if (run.readyAt <= at) this.generate(run, at)
    const idle = this.running.size + this.waiting.length === 0
    this.nextStepAt = idle ? undefined : at + this.stepMs()
  }

  private stepMs (): number {
    const { msPerToken, slots } = this.options
    const slowdown = 1 + FULL_BATCH_SLOWDOWN * Math.max(0, this.running.size - 1) / slots
    return Math.max(MIN_STEP_MS, msPerToken * slowdown)
  }

  private fillSlots (at: number): void {
    while (this.running.size < this.options.slots) {
      const run = this.waiting.shift()
      if (run === undefined) return
      this.start(run, at)
    }
  }

  private start (run: EngineRun, at: number): void {
    const uncachedTokens = Math.max(0, run.promptLength - this.cache.cachedTokens(run.prefixes))
    this.promptFreeAt = Math.max(at, this.promptFreeAt) + uncachedTokens * this.options.promptMsPerToken
    run.readyAt = this.promptFreeAt + this.options.msPerToken
    run.started = true
    this.running.add(run)
    this.observer.started(run, at)
  }

  private generate (run: EngineRun, at: number): void {
    if (run.generated === 0) this.cache.store(run.prefixes, at)
    if (!run.generate()) return
    this.running.delete(run)
    this.observer.finished(run, at)
  }
}
