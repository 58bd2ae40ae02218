/**
 * Routing policies compared in the simulation, one instance per VM. The product combines {@link FairQueue} and
 * {@link RunnerRouter}; the baselines choose a runner immediately and leave queueing to the engines.
 */
import { FairQueue } from '@rosemaryspread/decisions/routing/fairQueue.js'
import { RunnerRouter } from '@rosemaryspread/decisions/routing/runnerRouter.js'
import type { QueueItem } from '@rosemaryspread/decisions/routing/queueTypes.js'
import type { RouteDecision, RouteEvent, RouteRequest, RunnerView } from '@rosemaryspread/decisions/routing/routingTypes.js'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { SimRequest } from './routingWorkload.js'

/** Decision of a policy on a request. */
export type PolicyAction =
  | { readonly kind: 'start', readonly req: SimRequest, readonly runner: string, readonly sealed: number }
  | { readonly kind: 'refuse', readonly req: SimRequest }

export type PolicyName = 'product' | 'product keyed' | 'round robin' | 'random' | 'least in flight'

/** Routing policy of one VM. */
export interface VmPolicy {
  /** Accepts a new request, or one whose attempt failed. */
  submit (req: SimRequest, exclude: readonly string[], at: number): readonly PolicyAction[]
  /** Expires or routes waiting requests. */
  tick (at: number): readonly PolicyAction[]
  observe (event: RouteEvent, at: number): void
  /** Handles the final outcome of a request: answered, refused or given up. */
  done (req: SimRequest, tokens: number, at: number): void
}

export interface PolicyOptions {
  readonly vm: string
  readonly domain: string
  readonly vms: number
  readonly runners: readonly RunnerView[]
  readonly random: () => number
}

/** Slots that one VM may use, as a multiple of its fair share: callers are not distributed evenly. */
const FAIR_SHARE_FACTOR = 3

const TEAM_MAX_IN_FLIGHT = 64
const MODEL = 'llm'

/** Prompt tokens per prefix hash. */
const TOKENS_PER_HASH = 150

export const instantOf = (at: number): Instant => ({ mono: at, wall: at })

interface WaitingRequest {
  readonly req: SimRequest
  readonly hashes: readonly string[]
  exclude: readonly string[]
  dequeuedAt: number
}

class ProductPolicy implements VmPolicy {
  private readonly router: RunnerRouter
  private readonly queue: FairQueue<WaitingRequest>
  private readonly started = new Map<string, QueueItem<WaitingRequest>>()

  constructor (private readonly parts: PolicyOptions, private readonly isKeyed: boolean) {
    this.router = new RunnerRouter(parts.vm, parts.domain)
    this.router.observe({ kind: 'configured', model: MODEL, runners: parts.runners }, instantOf(0))
    const slots = parts.runners.reduce((sum, view) => sum + view.slots, 0)
    this.queue = new FairQueue(Math.ceil(slots * FAIR_SHARE_FACTOR / parts.vms))
  }

  submit (req: SimRequest, exclude: readonly string[], at: number): readonly PolicyAction[] {
    const item = this.started.get(req.id)
    if (item !== undefined) return this.retry(item, exclude, at)
    const offered = this.queue.offer(this.createQueueItem(req, exclude, at), instantOf(at))
    const refused: readonly PolicyAction[] = offered.isLeft() ? [{ kind: 'refuse', req }] : []
    return [...refused, ...this.tick(at)]
  }

  tick (at: number): readonly PolicyAction[] {
    const now = instantOf(at)
    const actions: PolicyAction[] = this.queue.expire(now).map(({ item }) => ({ kind: 'refuse', req: item.value.req }))
    for (let item = this.queue.pop(); item !== undefined; item = this.queue.pop()) {
      const decision = this.router.route(this.createRouteRequest(item.value), now, this.parts.random)
      if (decision.kind === 'refused' && decision.failure.code === 'overloaded') {
        this.queue.putBack(item)
        break
      }
      actions.push(this.startOrRefuse(item, decision, at))
    }
    return actions
  }

  observe (event: RouteEvent, at: number): void {
    this.router.observe(event, instantOf(at))
  }

  done (req: SimRequest, tokens: number, at: number): void {
    const item = this.started.get(req.id)
    if (item === undefined) return
    this.started.delete(req.id)
    this.queue.done(item, req.promptTokens + tokens, at - item.value.dequeuedAt)
  }

  private startOrRefuse (item: QueueItem<WaitingRequest>, decision: RouteDecision, at: number): PolicyAction {
    const { req } = item.value
    item.value.dequeuedAt = at
    if (decision.kind === 'refused') {
      this.queue.abandoned(item)
      return { kind: 'refuse', req }
    }
    this.started.set(req.id, item)
    return this.start(req, decision, at)
  }

  /** Puts a retry at the head of its team's queue, so that it still waits for a free slot. */
  private retry (item: QueueItem<WaitingRequest>, exclude: readonly string[], at: number): readonly PolicyAction[] {
    item.value.exclude = exclude
    this.started.delete(item.id)
    this.queue.putBack(item)
    return this.tick(at)
  }

  /** Reports the dispatch before the next decision; otherwise all waiting requests would go to the same runner. */
  private start (req: SimRequest, decision: Extract<RouteDecision, { kind: 'routed' }>, at: number): PolicyAction {
    const { runner } = decision.choice
    this.observe({ kind: 'dispatched', runner, requestId: req.id, tokens: req.promptTokens + req.maxTokens }, at)
    return { kind: 'start', req, runner, sealed: decision.runnersToSeal.length }
  }

  private createQueueItem (req: SimRequest, exclude: readonly string[], at: number): QueueItem<WaitingRequest> {
    return {
      id: req.id,
      team: req.team,
      weight: 1,
      maxInFlight: TEAM_MAX_IN_FLIGHT,
      priority: req.priority,
      tokens: req.promptTokens + req.maxTokens,
      serviceMs: this.router.serviceMs(req.promptTokens, req.maxTokens, instantOf(at)),
      deadline: instantOf(req.deadline),
      value: { req, hashes: hashPrompt(req), exclude, dequeuedAt: at }
    }
  }

  private createRouteRequest ({ req, hashes, exclude }: WaitingRequest): RouteRequest {
    return {
      requestId: req.id,
      team: req.team,
      model: MODEL,
      keyed: this.isKeyed,
      promptTokens: req.promptTokens,
      maxTokens: req.maxTokens,
      prefixHashes: hashes,
      deadline: instantOf(req.deadline),
      exclude
    }
  }
}

/**
 * Hashes of a shared prefix, longest last.
 * @param prefix - index of the prefix
 * @param tokens - length of the prefix
 */
export function prefixHashes (prefix: number, tokens: number): readonly string[] {
  return Array.from({ length: Math.floor(tokens / TOKENS_PER_HASH) }, (_, i) => `p${prefix}.${i}`)
}

/** Hashes of the shared prefix and of the rest of the prompt, which is unique to the request. */
function hashPrompt (req: SimRequest): readonly string[] {
  const uniqueHashes = Array.from({ length: Math.floor((req.promptTokens - req.prefixTokens) / TOKENS_PER_HASH) }, (_, i) => `${req.id}.${i}`)
  return [...prefixHashes(req.prefix, req.prefixTokens), ...uniqueHashes]
}

/** Chooses a runner that was not tried yet, by a given rule and without queueing. */
class BaselinePolicy implements VmPolicy {
  private readonly inFlight = new Map<string, number>()

  constructor (
    private readonly parts: PolicyOptions,
    private readonly choose: (names: readonly string[], inFlight: (name: string) => number) => string | undefined
  ) {}

  submit (req: SimRequest, exclude: readonly string[]): readonly PolicyAction[] {
    const names = this.parts.runners.map(view => view.runner).filter(name => !exclude.includes(name))
    const runner = this.choose(names, name => this.inFlight.get(name) ?? 0)
    if (runner === undefined) return [{ kind: 'refuse', req }]
    this.inFlight.set(runner, (this.inFlight.get(runner) ?? 0) + 1)
    return [{ kind: 'start', req, runner, sealed: 0 }]
  }

  tick (): readonly PolicyAction[] {
    return []
  }

  observe (event: RouteEvent): void {
    if (event.kind === 'ended') this.inFlight.set(event.runner, (this.inFlight.get(event.runner) ?? 0) - 1)
  }

  done (): void {}
}

export function createPolicy (name: PolicyName, options: PolicyOptions): VmPolicy {
  switch (name) {
    case 'product': return new ProductPolicy(options, false)
    case 'product keyed': return new ProductPolicy(options, true)
    case 'random': return new BaselinePolicy(options, names => names[Math.floor(options.random() * names.length)])
    case 'round robin': return createRoundRobin(options)
    case 'least in flight': return new BaselinePolicy(options, (names, inFlight) => pickLeastLoaded(names, inFlight, options.random))
  }
}

function createRoundRobin (options: PolicyOptions): VmPolicy {
  let nextIndex = Math.floor(options.random() * options.runners.length)
  return new BaselinePolicy(options, names => names[nextIndex++ % names.length])
}

/** The runner with the fewest requests in flight; ties are broken at random, as all VMs start with the same state. */
function pickLeastLoaded (names: readonly string[], inFlight: (name: string) => number, random: () => number): string | undefined {
  const min = Math.min(...names.map(inFlight))
  const tied = names.filter(name => inFlight(name) === min)
  return tied[Math.floor(random() * tied.length)]
}
