/**
 * Sends requests to targets over connections of this VM, and notices when its path to a service is lost: no connection can be made, or
 * nothing is received from any target of the service. Requests that the loss leaves without an answer are broken off where they may be sent again.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Left, type Either } from 'purify-ts'
import { Failure, failureOf, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { TargetAnswer, TargetClient, TargetRequest } from '../gateway/callTypes.js'
import { pathLostFailure } from './pathLostFailure.js'
import type { TargetPaths } from './targetPaths.js'

/** Time without anything from any target of a service after which the path is checked. */
const SILENCE_MS = 300
/** Interval between two checks for silence, as a service may just be slow. */
const SILENCE_CHECK_MS = 1_000

export interface DirectClientParts {
  readonly client: TargetClient
  readonly paths: Pick<TargetPaths, 'isLost' | 'check' | 'handleFailed'>
  readonly clock: Clock
  readonly log: EventLog
}

/** A request that is open at a target. */
interface Exchange {
  readonly service: string
  readonly isRepeatable: boolean
  readonly startedAt: number
  readonly cancel: AbortController
}

/** What was received from the targets of one service. Times are monotonic milliseconds. */
interface ServiceActivity {
  receivedAt: number
  checkedAt: number
}

export class DirectClient implements TargetClient {
  private readonly open = new Set<Exchange>()
  private readonly activities = new Map<string, ServiceActivity>()

  constructor (private readonly parts: DirectClientParts) {}

  /** Like {@link TargetClient.send}; `targetsUnreachable` if the path to the service is lost. */
  async send (req: TargetRequest, stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>> {
    const { service, isRepeatable } = req
    if (this.parts.paths.isLost(service)) return Left(pathLostFailure('no'))
    const exchange: Exchange = { service, isRepeatable, startedAt: this.mono, cancel: new AbortController() }
    const close = this.track(exchange, stop)
    const sent = await this.parts.client.send(req, exchange.cancel.signal, onReport)
    const failure = failureOf(sent)
    if (failure?.code !== 'runnerUnreachable') this.recordReceived(service)
    if (failure === undefined) return sent.map(answer => this.observed(answer, exchange, close))
    close()
    return Left(stop.aborted ? failure : await this.explain(failure, exchange, req.target.id))
  }

  /** Checks the paths to services whose targets are silent; to be called several times a second. */
  tick (): void {
    for (const service of new Set([...this.open].map(exchange => exchange.service))) {
      if (!this.isSilent(service)) continue
      if (this.parts.paths.isLost(service)) this.breakOff(service)
      else this.checkSilent(service)
    }
  }

  /** A failure without a connection, or of a request that was broken off, may be due to a lost path. */
  private async explain (failure: Failure, { service, cancel }: Exchange, target: string): Promise<Failure> {
    if (cancel.signal.aborted) return pathLostFailure(failure.ran)
    const isUnconnected = failure.code === 'runnerUnreachable' && failure.ran === 'no'
    return isUnconnected && await this.parts.paths.handleFailed(service, target) ? pathLostFailure('no') : failure
  }

  private track (exchange: Exchange, stop: AbortSignal): () => void {
    const onStop = (): void => { exchange.cancel.abort() }
    this.open.add(exchange)
    stop.addEventListener('abort', onStop)
    if (stop.aborted) onStop()
    return () => {
      this.open.delete(exchange)
      stop.removeEventListener('abort', onStop)
    }
  }

  private observed (answer: TargetAnswer, exchange: Exchange, close: () => void): TargetAnswer {
    return {
      head: answer.head,
      read: async onBytes => {
        try {
          return await answer.read(bytes => {
            this.recordReceived(exchange.service)
            return onBytes(bytes)
          })
        } finally {
          close()
        }
      }
    }
  }

  private recordReceived (service: string): void {
    this.activityOf(service).receivedAt = this.mono
  }

  /** Whether requests are open at targets of the service for long, and nothing was received from any of them. */
  private isSilent (service: string): boolean {
    const { mono } = this
    if (mono - this.activityOf(service).receivedAt <= SILENCE_MS) return false
    return [...this.open].some(exchange => exchange.service === service && mono - exchange.startedAt > SILENCE_MS)
  }

  private checkSilent (service: string): void {
    const activity = this.activityOf(service)
    if (this.mono - activity.checkedAt < SILENCE_CHECK_MS) return
    activity.checkedAt = this.mono
    this.parts.paths.check(service).then(isLost => { if (isLost) this.breakOff(service) }, (err: unknown) => {
      this.parts.log.write('fault', { err: toFailure(err).message })
    })
  }

  /** A request that must run once may have arrived, and its answer may still come. */
  private breakOff (service: string): void {
    for (const { service: own, isRepeatable, startedAt, cancel } of this.open) {
      if (own === service && isRepeatable && this.mono - startedAt > SILENCE_MS) cancel.abort()
    }
  }

  private activityOf (service: string): ServiceActivity {
    const existing = this.activities.get(service)
    if (existing !== undefined) return existing
    const created = { receivedAt: -Infinity, checkedAt: -Infinity }
    this.activities.set(service, created)
    return created
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}
