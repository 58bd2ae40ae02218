/**
 * The engine stand-in without its sockets: runs by request id, batching, prefix cache, load report and
 * models. The caller supplies time, in wall-clock milliseconds, and randomness.
 */
import type { CacheEvents, EngineOrder, EngineRequest, LoadReport, RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { HistoryLog } from '../control/historyLog.js'
import { LaggingValue } from '../control/laggingValue.js'
import { Batch, type BatchOptions } from './batch.js'
import { EngineModels, type OrderOutcome } from './engineModels.js'
import { EngineRun } from './engineRun.js'
import { PrefixCache, type PrefixCacheOptions } from './prefixCache.js'
import { RunRegistry } from './runRegistry.js'

export interface EngineOptions extends BatchOptions {
  /** Runner id in the fleet configuration. */
  readonly name: string
  readonly models: readonly string[]
  readonly checksFencing: boolean
  readonly loadLagMs: number
  readonly cache: PrefixCacheOptions
}

export type SubmitOutcome =
  | { readonly kind: 'started' | 'joined', readonly run: EngineRun }
  | { readonly kind: 'otherDigest' | 'sealed' | 'notLoaded' | 'leaving' }

type Load = Omit<LoadReport, 'asOf'>

export class EngineState {
  readonly models: EngineModels
  readonly cache: PrefixCache
  readonly batch: Batch
  /** Tokens above its limit that the next run to finish reports; 0 for a correct report. */
  overreportNext = 0
  private readonly runs = new RunRegistry()
  private readonly load: LaggingValue<Load>
  private leaving = false
  private submitted = 0
  /** Summary of the newest load sample, so that only changes are sampled. */
  private lastLoadSummary = ''

  /** @param random - numbers in [0, 1) */
  constructor (private readonly options: EngineOptions, random: () => number, private readonly history: HistoryLog, now: number) {
    this.models = new EngineModels(options.models, options.checksFencing)
    this.cache = new PrefixCache(options.cache, random)
    this.batch = new Batch(options, this.cache, {
      started: (run, at) => this.recordStart(run, at),
      finished: (run, at) => this.finish(run, at)
    })
    this.load = new LaggingValue(this.currentLoad(), now, options.loadLagMs)
  }

  /** Simulates everything due by `now`; callers do this before they read the state. */
  advance (now: number): void {
    this.batch.advance(now)
    this.runs.expireRecords(now)
    this.sampleLoad(now)
  }

  /** Starts a run, or joins the run with this id. */
  submit (req: EngineRequest, now: number): SubmitOutcome {
    this.advance(now)
    const existing = this.runs.find(req.requestId)
    if (existing !== undefined) return existing.req.digest === req.digest ? { kind: 'joined', run: existing } : { kind: 'otherDigest' }
    if (this.runs.isSealed(req.requestId)) return { kind: 'sealed' }
    if (this.leaving) return { kind: 'leaving' }
    if (!this.models.serves(req.model, req.adapter)) return { kind: 'notLoaded' }
    const run = new EngineRun(req)
    this.submitted++
    this.runs.add(run)
    this.batch.add(run, now)
    this.sampleLoad(now)
    return { kind: 'started', run }
  }

  run (requestId: string): EngineRun | undefined {
    return this.runs.find(requestId)
  }

  /** The record of a run or of a sealed id. */
  find (requestId: string): RunRecord | undefined {
    return this.runs.record(requestId)
  }

  /** Records of one holder, or of all holders. */
  list (holder?: string): readonly RunRecord[] {
    return this.runs.records(holder)
  }

  /** Cancels a run; a run that has ended is unchanged. */
  cancel (requestId: string, now: number): RunRecord | undefined {
    this.advance(now)
    const run = this.runs.find(requestId)
    if (run?.state === 'running') {
      this.batch.remove(run)
      run.end('cancelled')
      this.recordEnd(run, now)
      this.sampleLoad(now)
    }
    return this.find(requestId)
  }

  /**
   * Refuses later submissions of an id, unless it already has a run.
   * @returns the record of the existing run, or undefined if the id is now sealed
   */
  seal (requestId: string, now: number): RunRecord | undefined {
    this.advance(now)
    const run = this.runs.find(requestId)
    if (run === undefined) this.runs.seal(requestId, now)
    return run?.record
  }

  /** The load report, delayed by `loadLagMs`. */
  report (now: number): LoadReport {
    this.advance(now)
    const { asOf, value } = this.load.valueAt(now)
    return { asOf, ...value }
  }

  /**
   * Cache events published by `now`.
   * @param after - last sequence number that the caller has
   */
  cacheEvents (after: number, now: number): CacheEvents {
    this.advance(now)
    return this.cache.eventsAfter(after, now)
  }

  /**
   * Carries out an order whose weights have been fetched.
   * @param vm - the VM that sent it
   */
  execute (order: EngineOrder, now: number, vm = ''): OrderOutcome {
    this.advance(now)
    const previousCount = this.models.orders.length
    const outcome = this.models.execute(order)
    const isNew = this.models.orders.length > previousCount
    if (isNew && outcome === 'done') this.recordOrder(order, now, vm)
    this.sampleLoad(now)
    return outcome
  }

  /** Starts or stops leaving: new runs are refused, existing runs continue. */
  setLeaving (leaving: boolean, now: number): void {
    if (leaving && !this.leaving) this.history.add({ kind: 'runnerLeaving', at: now, runner: this.options.name })
    this.leaving = leaving
    this.sampleLoad(now)
  }

  /** Aborts all unfinished runs, as a restart of the engine process does. */
  abortRuns (now: number): void {
    for (const run of [...this.batch.running, ...this.batch.waiting]) {
      this.batch.remove(run)
      this.runs.drop(run)
      run.abort()
      this.addEndRecord(run, now)
    }
    this.sampleLoad(now)
  }

  /** State dump for tests. */
  get state (): unknown {
    const { running, waiting } = this.currentLoad()
    return { name: this.options.name, running, waiting, leaving: this.leaving, submitted: this.submitted, cache: this.cache.size, ...this.models.state as object, runs: this.list() }
  }

  private recordOrder ({ fencing }: EngineOrder, at: number, holder: string): void {
    this.history.add({ kind: 'leaseWrite', at, role: `orders at ${this.options.name}`, holder, fencing })
  }

  private finish (run: EngineRun, at: number): void {
    run.overreport = this.overreportNext
    this.overreportNext = 0
    run.end('finished')
    this.recordEnd(run, at)
  }

  private recordStart (run: EngineRun, at: number): void {
    const { requestId, team, budget, digest, holder } = run.req
    this.history.add({ kind: 'ran', at: Math.floor(at), requestId, runner: this.options.name, team, budget, digest, holder })
  }

  private recordEnd (run: EngineRun, at: number): void {
    this.runs.startExpiry(run.req.requestId, at)
    this.addEndRecord(run, at)
  }

  private addEndRecord (run: EngineRun, at: number): void {
    if (!run.started) return
    const state = run.state === 'finished' ? 'finished' : 'cancelled'
    const reported = run.overreport > 0 ? { reportedTokens: run.usage.promptTokens + run.usage.completionTokens } : {}
    const { requestId } = run.req
    this.history.add({ kind: 'ended', at: Math.floor(at), requestId, runner: this.options.name, state, text: run.text, tokens: run.tokens, ...reported })
  }

  /** Current load, for the header of a response. */
  loadHeader (): string {
    const { running, waiting } = this.currentLoad()
    return `running=${running};waiting=${waiting}`
  }

  private currentLoad (): Load {
    const { running, waiting } = this.batch
    return { running: running.size, waiting: waiting.length, slots: this.options.slots, models: this.models.report, leaving: this.leaving }
  }

  private sampleLoad (now: number): void {
    const { running, waiting } = this.batch
    const summary = [running.size, waiting.length, this.leaving, this.models.orders.length].join()
    if (summary === this.lastLoadSummary) return
    this.lastLoadSummary = summary
    this.load.set(this.currentLoad(), now)
  }
}
