/**
 * Waiting requests of one VM for one model: what the queue takes and what it answers.
 */
import type { Either } from 'purify-ts'
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'

/** A request that waits. */
export interface QueueItem<T> {
  readonly id: string
  readonly team: string
  /** Share of the team relative to others. */
  readonly weight: number
  /** Requests of the team that may wait or run at once. */
  readonly maxInFlight: number
  /** Higher goes first, among requests of the same team only. */
  readonly priority: number
  /** Worst case of prompt and answer in tokens; corrected by {@link RequestQueue.done}. */
  readonly tokens: number
  /** Predicted milliseconds from start to end. */
  readonly serviceMs: number
  readonly deadline: Instant
  readonly value: T
}

/** An item that left the queue because its deadline came out of reach. */
export interface ExpiredItem<T> {
  readonly item: QueueItem<T>
  readonly failure: Failure
}

/** A bounded queue, fair between teams. */
export interface RequestQueue<T> {
  /** Requests that wait now. */
  readonly waiting: number
  /** Requests popped and not done. */
  readonly running: number
  /**
   * Requests that may run at once, such as this VM's share of the slots.
   * @param limit - at least 1
   */
  setConcurrency (limit: number): void
  /**
   * Takes an item, or refuses it at once: `queueFull` when its team has too many, `overloaded` when
   * the queue is full, `deadlineOutOfReach` when its turn would come too late.
   */
  offer (item: QueueItem<T>, now: Instant): Either<Failure, void>
  /**
   * The next item to start; undefined when none waits or the concurrency limit is reached. Call
   * {@link RequestQueue.expire} before.
   */
  pop (): QueueItem<T> | undefined
  /** Puts back an item that was popped and could not be started; it goes first in its team. */
  putBack (item: QueueItem<T>): void
  /** Lets go of an item that was popped and refused: nothing ran, so nothing is charged or measured. */
  abandoned (item: QueueItem<T>): void
  /** Items whose deadline is out of reach now; they are removed. */
  expire (now: Instant): readonly ExpiredItem<T>[]
  /** Removes an item whose caller went away. */
  remove (id: string): boolean
  /**
   * Tells that a popped item ended.
   * @param item - the item
   * @param usedTokens - tokens it used in fact
   * @param ranMs - milliseconds since it was popped
   */
  done (item: QueueItem<T>, usedTokens: number, ranMs: number): void
}
