/**
 * Requests that wait at this VM because all places of their service's targets are taken; the most urgent is tried first. The queue holds no more
 * requests than the service has places for this VM, but one at least, and each waits for a part of its latency objective at most.
 */

/** Share of the latency objective for which a request may wait for a place. */
const MAX_WAIT_RATIO = 0.5

/** A request that waits. */
export interface PlaceDemand {
  readonly service: string
  /** 0 is the most urgent. */
  readonly priority: number
  readonly objectiveMs: number
  /** Milliseconds since the request was received. */
  readonly ageMs: number
  /** Milliseconds for which it may wait at most, whatever its objective; absent for no such limit. */
  readonly maxWaitMs?: number
}

interface Waiting {
  readonly priority: number
  readonly wake: (hasRoom: boolean) => void
}

export class PlaceQueue {
  private readonly queues = new Map<string, Waiting[]>()

  /**
   * Waits until a place may be free.
   * @param places - places of the service for this VM
   * @returns false if the request must not wait any longer
   */
  async wait ({ service, priority, objectiveMs, ageMs, maxWaitMs = Infinity }: PlaceDemand, places: number): Promise<boolean> {
    const queue = this.queues.get(service) ?? []
    const waitMs = Math.min(objectiveMs * MAX_WAIT_RATIO - ageMs, maxWaitMs)
    if (waitMs <= 0 || queue.length >= Math.max(1, places)) return false
    this.queues.set(service, queue)
    return await new Promise(resolve => {
      const waiting: Waiting = {
        priority,
        wake: hasRoom => {
          clearTimeout(timer)
          queue.splice(queue.indexOf(waiting), 1)
          if (queue.length === 0) this.queues.delete(service)
          resolve(hasRoom)
        }
      }
      const timer = setTimeout(() => { waiting.wake(false) }, waitMs)
      const position = queue.findIndex(other => other.priority > priority)
      queue.splice(position < 0 ? queue.length : position, 0, waiting)
    })
  }

  /** Lets the first request of a service try again, after a place became free. */
  wake (service: string): void {
    this.queues.get(service)?.[0]?.wake(true)
  }

  /** Lets the first request of each service try again, as limits change with time; to be called several times a second. */
  tick (): void {
    for (const service of [...this.queues.keys()]) this.wake(service)
  }
}
