/**
 * Chooses application runners by the fewest open calls of this VM, and prefers the local failure domain
 * among equals. Leaving and full runners are excluded; ejected ones are used only if no other is free.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { TargetHealth } from '@rosemaryspread/decisions/routing/targetHealth.js'
import type { ServiceConfig } from '@rosemaryspread/decisions/config/configSchema.js'

/** Retry-After when every runner is full. */
const ALL_FULL_RETRY_MS = 500
/** Retry-After when no runner is declared or left to try. */
const NO_RUNNER_RETRY_MS = 5_000

/** An application runner chosen for a call. */
export interface ServiceChoice {
  readonly runner: string
  readonly address: string
  /** Failure domain of the runner. */
  readonly domain: string
  readonly candidates: readonly string[]
}

/** Open calls and health of each application runner, as seen by this VM. */
export class ServiceLoad {
  private readonly open = new Map<string, number>()
  private readonly health = new Map<string, TargetHealth>()
  /** Monotonic milliseconds until which a runner accepts no calls. */
  private readonly pausedUntil = new Map<string, number>()

  /** Open calls at a runner. */
  of (runner: string): number {
    return this.open.get(runner) ?? 0
  }

  add (runner: string, by: 1 | -1): void {
    this.open.set(runner, this.of(runner) + by)
  }

  /**
   * Records the end of a call; a runner that is unreachable several times in a row is ejected.
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
   * Records that a runner accepts no calls for a time; a shorter pause does not replace a longer one.
   * @param until - in monotonic milliseconds
   */
  pause (runner: string, until: number): void {
    this.pausedUntil.set(runner, Math.max(until, this.pausedUntil.get(runner) ?? -Infinity))
  }

  /**
   * Remaining pause of a runner in milliseconds; 0 when it accepts calls.
   * @param mono - monotonic milliseconds
   */
  pauseMs (runner: string, mono: number): number {
    return Math.max(0, (this.pausedUntil.get(runner) ?? mono) - mono)
  }

  /**
   * Whether a call may go to a runner; after an ejection it gets single probes first.
   * @param mono - monotonic milliseconds
   */
  isUsable (runner: string, mono: number): boolean {
    const health = this.health.get(runner)
    return health === undefined || health.share(mono, this.of(runner)) > 0
  }
}

/**
 * Chooses a runner for a call.
 * @param domain - failure domain of this VM
 * @param exclude - ids of runners tried already
 * @param mono - monotonic milliseconds
 */
export function chooseServiceRunner (service: ServiceConfig, domain: string, load: ServiceLoad, exclude: readonly string[], mono: number): Either<Failure, ServiceChoice> {
  const active = Object.entries(service.runners)
    .filter(([runner, { state }]) => state === 'active' && !exclude.includes(runner))
  if (active.length === 0) return Left(new Failure('noRunner', 'no application runner is left to try', { ran: 'no', retryAfterMs: NO_RUNNER_RETRY_MS }))
  const pauseMs = Math.min(...active.map(([runner]) => load.pauseMs(runner, mono)))
  if (pauseMs > 0) return Left(new Failure('targetsPaused', 'every application runner has paused this VM', { ran: 'no', retryAfterMs: pauseMs }))
  const free = active.filter(([runner]) => load.pauseMs(runner, mono) === 0).filter(([runner, { maxInFlight }]) => load.of(runner) < maxInFlight)
  if (free.length === 0) return Left(new Failure('overloaded', 'every application runner is full', { ran: 'no', retryAfterMs: ALL_FULL_RETRY_MS }))
  const domainRank = (other: string): number => other === domain ? 0 : 1
  const usable = free.filter(([runner]) => load.isUsable(runner, mono))
  const [chosen] = (usable.length > 0 ? usable : free).sort(([a, left], [b, right]) =>
    load.of(a) - load.of(b) || domainRank(left.domain) - domainRank(right.domain) || a.localeCompare(b))
  const [runner, { address, domain: runnerDomain }] = chosen as NonNullable<typeof chosen>
  return Right({ runner, address, domain: runnerDomain, candidates: (usable.length > 0 ? usable : free).map(([name]) => name) })
}

/**
 * Whether the service declares that a call may be repeated.
 * @param path - path below the service, with its query
 */
export function isRepeatable (service: ServiceConfig, method: string, path: string): boolean {
  if (method === 'GET') return true
  const pathWithoutQuery = path.split('?')[0] ?? path
  return !service.notRepeatable.some(pattern =>
    pattern.endsWith('*') ? pathWithoutQuery.startsWith(pattern.slice(0, -1)) : pathWithoutQuery === pattern)
}
