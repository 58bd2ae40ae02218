/**
 * Sends requests to targets over connections of this VM, or through another VM while this one has lost its path to the service.
 */
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { failureOf, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { TargetAnswer, TargetClient, TargetEndProbe, TargetRequest } from '../gateway/callTypes.js'
import type { TargetPaths } from '../paths/targetPaths.js'

export interface RelayingClientParts {
  readonly clock: Clock
  /** Sends over connections of this VM; fails with `targetsUnreachable` while the path is lost. */
  readonly direct: TargetClient
  readonly probe: TargetEndProbe
  readonly relay: TargetClient & TargetEndProbe
  readonly paths: Pick<TargetPaths, 'isLost'>
}

export class RelayingClient implements TargetClient, TargetEndProbe {
  constructor (private readonly parts: RelayingClientParts) {}

  async send (req: TargetRequest, stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>> {
    const { direct, relay, clock } = this.parts
    const startedAt = clock.now().mono
    const sent = await direct.send(req, stop, onReport)
    const failure = failureOf(sent)
    const isUnsent = failure?.code === 'targetsUnreachable' && failure.ran === 'no'
    if (!isUnsent || stop.aborted) return sent
    const leftMs = Math.floor(req.timeoutMs - (clock.now().mono - startedAt))
    return leftMs > 0 ? await relay.send({ ...req, timeoutMs: leftMs }, stop, onReport) : sent
  }

  async isTerminated (address: string, service: string, timeoutMs: number): Promise<boolean> {
    const { probe, paths, relay } = this.parts
    return await probe.isTerminated(address, service, timeoutMs) || (paths.isLost(service) && await relay.isTerminated(address, service, timeoutMs))
  }
}
