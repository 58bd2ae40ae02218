/**
 * Continuous batching: a limited number of slots, one token for each ready run in each step, and
 * prompts that are computed one after another beside it. Time comes from outside, so a step
 * happens at its due time however late the caller asks.
 */
import type { EngineRun } from './engineRun.js'
import type { PrefixCache } from './prefixCache.js'

/** A full batch takes this much longer for one step than a single run. */
const FULL_BATCH_SLOWDOWN = 0.5
/** Shortest step, in milliseconds, so that time always moves on. */
const SHORTEST_STEP_MS = 0.1

/** Speed of the engine. */
export interface BatchOptions {
  readonly slots: number
  /** Milliseconds for one token of a run that is alone. */
  msPerToken: number
  /** Milliseconds for one token of a prompt that is not cached. */
  readonly promptMsPerToken: number
}

/** Told of what the batch does. */
export interface BatchObserver {
  began (run: EngineRun, at: number): void
  finished (run: EngineRun, at: number): void
}

/** The runs that wait and those that have a slot. */
export class Batch {
  readonly running = new Set<EngineRun>()
  /** Ordered by priority, then by submission. */
  readonly waiting: EngineRun[] = []
  private nextStepAt: number | undefined
  private promptFreeAt = 0

  /**
   * @param options - slots and speed; `msPerToken` may change
   * @param cache - prefixes that need no computing
   * @param observer - told of starts and ends
   */
  constructor (readonly options: BatchOptions, private readonly cache: PrefixCache, private readonly observer: BatchObserver) {}

  /** When {@link advance} has something to do; absent when idle. */
  get dueAt (): number | undefined {
    return this.nextStepAt
  }

  /**
   * Queues a run.
   * @param run - a new run
   * @param now - wall milliseconds
   */
  add (run: EngineRun, now: number): void {
    const later = this.waiting.findIndex(other => other.req.priority < run.req.priority)
    this.waiting.splice(later === -1 ? this.waiting.length : later, 0, run)
    this.nextStepAt ??= now
  }

  /**
   * Takes a run out, whether it waits or runs.
   * @param run - the run
   */
  remove (run: EngineRun): void {
    this.running.delete(run)
    const index = this.waiting.indexOf(run)
    if (index !== -1) this.waiting.splice(index, 1)
  }

  /**
   * Takes all steps that are due.
   * @param now - wall milliseconds
   */
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
    return Math.max(SHORTEST_STEP_MS, msPerToken * slowdown)
  }

  private fillSlots (at: number): void {
    while (this.running.size < this.options.slots) {
      const run = this.waiting.shift()
      if (run === undefined) return
      this.start(run, at)
    }
  }

  private start (run: EngineRun, at: number): void {
    const missing = Math.max(0, run.promptLength - this.cache.cachedTokens(run.prefixes))
    this.promptFreeAt = Math.max(at, this.promptFreeAt) + missing * this.options.promptMsPerToken
    run.readyAt = this.promptFreeAt + this.options.msPerToken
    run.started = true
    this.running.add(run)
    this.observer.began(run, at)
  }

  private generate (run: EngineRun, at: number): void {
    if (run.generated === 0) this.cache.store(run.prefixes, at)
    if (!run.generate()) return
    this.running.delete(run)
    this.observer.finished(run, at)
  }
}
