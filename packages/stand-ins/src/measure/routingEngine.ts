/**
 * Simulated model engine with continuous batching. A step decodes one token per request and prefills a chunk of prompt tokens;
 * its duration grows with the batch. Prompt prefixes are cached in a small LRU cache. Requests beyond the slots wait by priority.
 */
import type { SimRequest } from './routingWorkload.js'

/** Duration of a step: a fixed cost, plus a cost per request in the batch and per prompt token. */
const STEP_MS = 12
const STEP_REQUEST_MS = 1
const PROMPT_TOKEN_MS = 0.15

const MAX_PREFILL_TOKENS_PER_STEP = 512

const MAX_CACHED_PREFIXES = 16

/** Maximum requests in a batch. */
export const ENGINE_SLOTS = 16

/** Receives the tokens and completions of an engine. */
export interface EngineOutput {
  token (attempt: Attempt, at: number): void
  ended (attempt: Attempt, at: number): void
}

/** One execution of a request on one engine. */
export interface Attempt {
  readonly req: SimRequest
  readonly engine: SimEngine
  readonly startedAt: number
  remainingPromptTokens: number
  tokens: number
  lastTokenAt: number
  firstTokenMs: number
  open: boolean
}

/** A change of an engine's prefix cache. */
export interface CacheChange {
  readonly at: number
  readonly kind: 'stored' | 'evicted'
  readonly prefix: number
}

export class SimEngine {
  /** Multiplies the duration of each step. */
  slowdownFactor = 1
  /** `unresponsive` accepts requests without progress; `down` refuses connections. */
  state: 'up' | 'unresponsive' | 'down' = 'up'
  readonly cacheChanges: CacheChange[] = []
  private readonly cache = new Set<number>()
  private waiting: Attempt[] = []
  private batch: Attempt[] = []
  private isStepping = false

  /**
   * @param schedule - runs a function at the given virtual time
   */
  constructor (
    readonly name: string,
    private readonly output: EngineOutput,
    private readonly schedule: (at: number, run: (at: number) => void) => void
  ) {}

  get running (): number {
    return this.batch.length
  }

  get queued (): number {
    return this.waiting.length
  }

  submit (attempt: Attempt, at: number): void {
    const index = this.waiting.findIndex(other => other.req.priority < attempt.req.priority)
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, attempt)
    this.startStep(at)
  }

  cancel (attempt: Attempt): void {
    this.waiting = this.waiting.filter(item => item !== attempt)
    this.batch = this.batch.filter(item => item !== attempt)
  }

  /** Drops all requests and the cache, like a process restart; returns the lost attempts. */
  crash (): readonly Attempt[] {
    const lost = [...this.batch, ...this.waiting]
    this.batch = []
    this.waiting = []
    this.cache.clear()
    return lost
  }

  /** Milliseconds to complete the request with the current load and no further arrivals; Infinity without a free slot. */
  actualServiceMs (req: SimRequest): number {
    if (this.state !== 'up' || this.running + this.queued >= ENGINE_SLOTS) return Infinity
    const stepMs = (STEP_MS + STEP_REQUEST_MS * (this.running + 1)) * this.slowdownFactor
    return this.uncachedTokens(req) * PROMPT_TOKEN_MS * this.slowdownFactor + req.answerTokens * stepMs
  }

  private startStep (at: number): void {
    if (this.isStepping || this.state !== 'up') return
    this.admit(at)
    if (this.batch.length === 0) return
    this.isStepping = true
    const promptTokens = this.prefill()
    const stepMs = (STEP_MS + STEP_REQUEST_MS * this.batch.length + PROMPT_TOKEN_MS * promptTokens) * this.slowdownFactor
    this.schedule(at + stepMs, end => this.endStep(end))
  }

  private endStep (at: number): void {
    this.isStepping = false
    if (this.state !== 'up') return
    for (const attempt of this.batch) if (attempt.remainingPromptTokens <= 0) this.decode(attempt, at)
    this.batch = this.batch.filter(attempt => attempt.open)
    this.startStep(at)
  }

  private decode (attempt: Attempt, at: number): void {
    attempt.tokens += 1
    this.output.token(attempt, at)
    if (attempt.tokens < attempt.req.answerTokens) return
    attempt.open = false
    this.output.ended(attempt, at)
  }

  private admit (at: number): void {
    while (this.batch.length < ENGINE_SLOTS) {
      const attempt = this.waiting.shift()
      if (attempt === undefined) return
      attempt.remainingPromptTokens = this.uncachedTokens(attempt.req)
      this.keep(attempt.req.prefix, at)
      this.batch.push(attempt)
    }
  }

  private prefill (): number {
    let budget = MAX_PREFILL_TOKENS_PER_STEP
    for (const attempt of this.batch) {
      const tokens = Math.min(budget, Math.max(0, attempt.remainingPromptTokens))
      attempt.remainingPromptTokens -= tokens
      budget -= tokens
    }
    return MAX_PREFILL_TOKENS_PER_STEP - budget
  }

  private uncachedTokens (req: SimRequest): number {
    return req.promptTokens - (this.cache.has(req.prefix) ? req.prefixTokens : 0)
  }

  private keep (prefix: number, at: number): void {
    const wasCached = this.cache.delete(prefix)
    this.cache.add(prefix)
    if (!wasCached) this.cacheChanges.push({ at, kind: 'stored', prefix })
    if (this.cache.size <= MAX_CACHED_PREFIXES) return
    const oldest = this.cache.values().next().value
    if (oldest === undefined) return
    this.cache.delete(oldest)
    this.cacheChanges.push({ at, kind: 'evicted', prefix: oldest })
  }
}
