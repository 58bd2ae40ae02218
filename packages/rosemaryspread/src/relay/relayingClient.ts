/**
 * Sends requests to targets over connections of this VM, or through another VM while this one has lost its path to the service.
 */
import type { Either } from 'purify-ts'
import { failureOf, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { TargetAnswer, TargetClient, TargetEndProbe, TargetRequest } from '../gateway/callTypes.js'
import type { TargetPaths } from '../paths/targetPaths.js'

export interface RelayingClientParts {
  /** Sends over connections of this VM; fails with `targetsUnreachable` while the path is lost. */
  readonly direct: TargetClient
  readonly probe: TargetEndProbe
  readonly relay: TargetClient & TargetEndProbe
  readonly paths: Pick<TargetPaths, 'isLost'>
}

export class RelayingClient implements TargetClient, TargetEndProbe {
  constructor (private readonly parts: RelayingClientParts) {}

  async send (req: TargetRequest, stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>> {
    const sent = await this.parts.direct.send(req, stop, onReport)
    const failure = failureOf(sent)
    const isUnsent = failure?.code === 'targetsUnreachable' && failure.ran === 'no'
    return isUnsent && !stop.aborted ? await this.parts.relay.send(req, stop, onReport) : sent
  }

  async isTerminated (address: string, service: string, timeoutMs: number): Promise<boolean> {
    const { probe, paths, relay } = this.parts
    return await probe.isTerminated(address, service, timeoutMs) || (paths.isLost(service) && await relay.isTerminated(address, service, timeoutMs))
  }
}
