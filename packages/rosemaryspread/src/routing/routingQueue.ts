/**
 * Queues of requests that wait for capacity at a runner: one fair queue for each model. A dequeued request
 * is routed in the same step, so that the next decision already counts it.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { FairQueue } from '@rosemaryspread/decisions/routing/fairQueue.js'
import type { QueueItem } from '@rosemaryspread/decisions/routing/queueTypes.js'
import type { AdmittedCompletion } from '../completion/completionAdmission.js'
import type { RoutedRunner, RouteRefusal } from './routingPort.js'

/** Multiple of its fair share of the slots that one VM may use, as callers are not spread evenly over the VMs. */
const CONCURRENCY_HEADROOM = 3

/** Outcome of a routing attempt; `full` means that the request should wait. */
export type RouteAttempt =
  | { readonly kind: 'routed', readonly routed: RoutedRunner }
  | { readonly kind: 'refused' | 'full', readonly refusal: RouteRefusal }

export interface RouteQueuesParts {
  readonly clock: Clock
  /** Routes a request without waiting. */
  readonly tryRoute: (admitted: AdmittedCompletion) => RouteAttempt
  /** Predicted milliseconds from start to end of a request. */
  readonly serviceMs: (admitted: AdmittedCompletion) => number
  /** Slots of all runners of a model. */
  readonly slotsOf: (model: string) => number
  /** Number of VMs that share the runners, this one included. */
  readonly vms: () => number
}

type Routed = Either<RouteRefusal, RoutedRunner>

interface WaitingRequest {
  readonly admitted: AdmittedCompletion
  readonly resolve: (routed: Routed) => void
  startedAt: number
}

export class RouteQueues {
  private readonly queues = new Map<string, FairQueue<WaitingRequest>>()
  private readonly started = new Map<string, QueueItem<WaitingRequest>>()

  constructor (private readonly parts: RouteQueuesParts) {}

  /** Number of waiting requests over all models. */
  get waiting (): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.waiting, 0)
  }

  /**
   * Waits until a request is routed or refused.
   * @param callerGone - aborted when the caller disconnects
   */
  async route (admitted: AdmittedCompletion, callerGone: AbortSignal): Promise<Routed> {
    const queue = this.queueFor(admitted.model)
    return await new Promise(resolve => {
      const item = this.createItem(admitted, resolve)
      const offered = queue.offer(item, this.parts.clock.now())
      if (offered.isLeft()) {
        resolve(Left(refusalFor(admitted, offered.extract())))
        return
      }
      callerGone.addEventListener('abort', () => { this.withdraw(queue, item) }, { once: true })
      this.dispatchWaiting(admitted.model)
    })
  }

  /** Expires and routes waiting requests; to be called several times a second. */
  tick (): void {
    for (const model of this.queues.keys()) this.dispatchWaiting(model)
  }

  /**
   * Reports that a routed request ended.
   * @param usedTokens - 0 when nothing ran
   */
  finish (admitted: AdmittedCompletion, usedTokens: number): void {
    const item = this.started.get(admitted.requestId)
    if (item?.value.admitted !== admitted) return
    this.started.delete(admitted.requestId)
    const queue = this.queueFor(admitted.model)
    if (usedTokens === 0) queue.abandoned(item)
    else queue.done(item, usedTokens, this.parts.clock.now().mono - item.value.startedAt)
    this.dispatchWaiting(admitted.model)
  }

  private dispatchWaiting (model: string): void {
    const queue = this.queueFor(model)
    const now = this.parts.clock.now()
    for (const { item, failure } of queue.expire(now)) {
      item.value.resolve(Left(refusalFor(item.value.admitted, failure)))
    }
    for (let item = queue.pop(); item !== undefined; item = queue.pop()) {
      const attempt = this.parts.tryRoute(item.value.admitted)
      if (attempt.kind === 'full') {
        queue.putBack(item)
        return
      }
      this.conclude(queue, item, attempt)
    }
  }

  private conclude (queue: FairQueue<WaitingRequest>, item: QueueItem<WaitingRequest>, attempt: RouteAttempt): void {
    if (attempt.kind !== 'routed') {
      queue.abandoned(item)
      item.value.resolve(Left(attempt.refusal))
      return
    }
    item.value.startedAt = this.parts.clock.now().mono
    this.started.set(item.id, item)
    item.value.resolve(Right(attempt.routed))
  }

  private withdraw (queue: FairQueue<WaitingRequest>, item: QueueItem<WaitingRequest>): void {
    if (!queue.remove(item.id)) return
    item.value.resolve(Left(refusalFor(item.value.admitted, new Failure('callerGone', 'the caller closed the connection while the request was queued', { ran: 'no' }))))
  }

  private queueFor (model: string): FairQueue<WaitingRequest> {
    const concurrency = Math.ceil(this.parts.slotsOf(model) * CONCURRENCY_HEADROOM / Math.max(1, this.parts.vms()))
    const existing = this.queues.get(model)
    if (existing !== undefined) {
      existing.setConcurrency(concurrency)
      return existing
    }
    const queue = new FairQueue<WaitingRequest>(Math.max(1, concurrency))
    this.queues.set(model, queue)
    return queue
  }

  private createItem (admitted: AdmittedCompletion, resolve: WaitingRequest['resolve']): QueueItem<WaitingRequest> {
    const { requestId, team, teamConfig, promptTokens, maxTokens, deadline } = admitted
    return {
      id: requestId,
      team,
      weight: teamConfig.weight,
      maxInFlight: teamConfig.maxInFlight,
      priority: 0,
      tokens: promptTokens + maxTokens,
      serviceMs: this.parts.serviceMs(admitted),
      deadline,
      value: { admitted, resolve, startedAt: 0 }
    }
  }
}

/** A queued request was not run, but an earlier attempt of a keyed one may have been. */
function refusalFor (admitted: AdmittedCompletion, { code, message, retryAfterMs }: Failure): RouteRefusal {
  const ran = admitted.keyed ? 'unknown' : 'no'
  return { failure: new Failure(code, message, { ran, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }), lookupRunners: [] }
}
