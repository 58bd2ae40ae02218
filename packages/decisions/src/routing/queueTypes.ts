/**
 * Interface of the queue of requests that wait on one VM for one model.
 */
import type { Either } from 'purify-ts'
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'

export interface QueueItem<T> {
  readonly id: string
  readonly team: string
  /** Share of the team relative to other teams. */
  readonly weight: number
  /** Limit on the waiting and running requests of the team. */
  readonly maxInFlight: number
  /** Higher goes first within the team; against other teams it gives only a bounded head start. */
  readonly priority: number
  /** Upper bound of prompt and answer tokens; corrected by {@link RequestQueue.done}. */
  readonly tokens: number
  /** Predicted milliseconds from start to end. */
  readonly serviceMs: number
  readonly deadline: Instant
  readonly value: T
}

/** An item removed because it can no longer meet its deadline. */
export interface ExpiredItem<T> {
  readonly item: QueueItem<T>
  readonly failure: Failure
}

/** Bounded queue with fairness between teams. */
export interface RequestQueue<T> {
  readonly waiting: number
  /** Requests popped and not yet done. */
  readonly running: number
  /**
   * Sets how many requests may run at once, such as this VM's share of the slots.
   * @param limit - at least 1
   */
  setConcurrency (limit: number): void
  /**
   * Enqueues an item, or refuses it at once: `queueFull` when its team is at its limit, `overloaded`
   * when the queue is full, `deadlineOutOfReach` when it would start too late.
   */
  offer (item: QueueItem<T>, now: Instant): Either<Failure, void>
  /**
   * Returns the next item to start; undefined when none is waiting or the concurrency limit is
   * reached. Call {@link RequestQueue.expire} first.
   */
  pop (): QueueItem<T> | undefined
  /** Puts a popped item that could not be started back at the head of its team. */
  putBack (item: QueueItem<T>): void
  /** Drops a popped item that was refused: nothing ran, so nothing is charged or measured. */
  abandoned (item: QueueItem<T>): void
  /** Removes and returns the items that can no longer meet their deadline. */
  expire (now: Instant): readonly ExpiredItem<T>[]
  /** Removes a waiting item, for example when its caller disconnected; false when it is not waiting. */
  remove (id: string): boolean
  /**
   * Records the end of a popped item.
   * @param usedTokens - tokens actually used
   * @param ranMs - milliseconds since it was popped
   */
  done (item: QueueItem<T>, usedTokens: number, ranMs: number): void
}
