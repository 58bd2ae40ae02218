/**
 * Chooses application runners: the fewest open calls by this VM's own count, the own failure
 * domain first among equals; leaving, full and ejected runners get nothing.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { TargetHealth } from '@rosemaryspread/decisions/routing/targetHealth.js'
import type { ServiceConfig } from '@rosemaryspread/decisions/config/configSchema.js'

/** Milliseconds to come back after when every runner is full. */
const FULL_RETRY_MS = 500
/** Milliseconds to come back after when no runner is declared or left. */
const NONE_RETRY_MS = 5_000

/** An application runner chosen for a call. */
export interface ServiceChoice {
  readonly runner: string
  readonly address: string
  /** Its failure domain. */
  readonly domain: string
  readonly candidates: readonly string[]
}

/** Open calls and health of each application runner, as this VM sees them. */
export class ServiceLoad {
  private readonly open = new Map<string, number>()
  private readonly health = new Map<string, TargetHealth>()
  /** Until when runners want no call. */
  private readonly pausedUntil = new Map<string, number>()

  of (runner: string): number {
    return this.open.get(runner) ?? 0
  }

  add (runner: string, by: 1 | -1): void {
    this.open.set(runner, this.of(runner) + by)
  }

  /**
   * Notes how a call ended; a runner that cannot be reached several times in a row is ejected.
   * @param runner - id of the runner
   * @param reached - whether it answered, whatever the status
   * @param mono - monotonic milliseconds
   */
  ended (runner: string, reached: boolean, mono: number): void {
    const health = this.health.get(runner) ?? new TargetHealth()
    this.health.set(runner, health)
    if (reached) health.recordSuccess(mono)
    else health.recordFailure(mono)
  }

  /**
   * Takes that a runner wants no call for a time.
   * @param runner - id of the runner
   * @param until - end of the time, in monotonic milliseconds
   */
  pause (runner: string, until: number): void {
    this.pausedUntil.set(runner, Math.max(until, this.pausedUntil.get(runner) ?? -Infinity))
  }

  /**
   * Milliseconds for which a runner wants no call; 0 when it takes one.
   * @param runner - id of the runner
   * @param mono - monotonic milliseconds
   */
  pauseMs (runner: string, mono: number): number {
    return Math.max(0, (this.pausedUntil.get(runner) ?? mono) - mono)
  }

  /**
   * Whether a call may go to a runner; one that was ejected gets single probes at first.
   * @param runner - id of the runner
   * @param mono - monotonic milliseconds
   */
  isUsable (runner: string, mono: number): boolean {
    const health = this.health.get(runner)
    return health === undefined || health.share(mono, this.of(runner)) > 0
  }
}

/**
 * Chooses a runner for a call.
 * @param service - the service's configuration
 * @param domain - failure domain of this VM
 * @param load - open calls
 * @param exclude - runners tried already
 * @param mono - monotonic milliseconds
 */
export function chooseServiceRunner (service: ServiceConfig, domain: string, load: ServiceLoad, exclude: readonly string[], mono: number): Either<Failure, ServiceChoice> {
  const active = Object.entries(service.runners)
    .filter(([runner, { state }]) => state === 'active' && !exclude.includes(runner))
  if (active.length === 0) return Left(new Failure('noRunner', 'no application runner is left to try', { retryAfterMs: NONE_RETRY_MS }))
  const backMs = Math.min(...active.map(([runner]) => load.pauseMs(runner, mono)))
  if (backMs > 0) return Left(new Failure('targetsPaused', 'every application runner asked this VM to wait', { retryAfterMs: backMs }))
  const free = active.filter(([runner]) => load.pauseMs(runner, mono) === 0).filter(([runner, { maxInFlight }]) => load.of(runner) < maxInFlight)
  if (free.length === 0) return Left(new Failure('overloaded', 'every application runner is full', { retryAfterMs: FULL_RETRY_MS }))
  const distance = (other: string): number => other === domain ? 0 : 1
  const usable = free.filter(([runner]) => load.isUsable(runner, mono))
  const [best] = (usable.length > 0 ? usable : free).sort(([a, left], [b, right]) =>
    load.of(a) - load.of(b) || distance(left.domain) - distance(right.domain) || a.localeCompare(b))
  const [runner, { address, domain: itsDomain }] = best as NonNullable<typeof best>
  return Right({ runner, address, domain: itsDomain, candidates: (usable.length > 0 ? usable : free).map(([name]) => name) })
}

/**
 * Whether a call may be repeated by the service's own declaration.
 * @param service - the service's configuration
 * @param method - HTTP method
 * @param path - path below the service
 */
export function isRepeatable (service: ServiceConfig, method: string, path: string): boolean {
  if (method === 'GET') return true
  const bare = path.split('?')[0] ?? path
  return !service.notRepeatable.some(pattern =>
    pattern.endsWith('*') ? bare.startsWith(pattern.slice(0, -1)) : bare === pattern)
}
