/**
 * Sends requests to targets through other VMs that reach them.
 */
import { Either, Left, Right } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, failureOf, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { RandomSource } from '../completion/completionPorts.js'
import type { TargetAnswer, TargetClient, TargetEndProbe, TargetRequest } from '../gateway/callTypes.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import { pathLostFailure } from '../paths/pathLostFailure.js'
import type { PeerVm } from '../presence/vmPresence.js'
import { relayedBytesSchema, relayedHeadSchema, relayMethods, type RelayedBytes, type RelayedHead } from './relayTypes.js'

/** VMs that are asked for one request: those asked first may have lost the same path and not published it yet. */
const MAX_PEERS = 3

export interface RelayClientParts {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  readonly random: RandomSource
  /** VMs that can be called and reach the service, as far as known. */
  peers (service: string): readonly PeerVm[]
  call (address: string, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>>
  notify (address: string, method: string, params: unknown): void
}

/** A request that another VM sends for this one. */
interface RelayedCall {
  readonly peer: PeerVm
  readonly exchange: string
  readonly req: TargetRequest
  readonly stop: AbortSignal
}

export class RelayClient implements TargetClient, TargetEndProbe {
  /** Open requests by the address of the VM that relays them. */
  private readonly open = new Map<string, number>()
  private nextExchange = 0

  constructor (private readonly parts: RelayClientParts) {}

  /** Whether a VM is known that reaches a service. */
  canRelay (service: string): boolean {
    return this.parts.peers(service).length > 0
  }

  /** Like {@link TargetClient.send}; `targetsUnreachable` if no VM reaches the service, or the one that does is lost. */
  async send (req: TargetRequest, stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>> {
    const asked = new Set<string>()
    const deadline = this.mono + req.timeoutMs
    while (asked.size < MAX_PEERS && !stop.aborted) {
      const peer = this.leastUsed(this.parts.peers(req.service).filter(({ address }) => !asked.has(address)))
      if (peer === undefined) break
      asked.add(peer.address)
      const sent = await this.sendThrough(peer, { ...req, timeoutMs: Math.max(1, Math.floor(deadline - this.mono)) }, stop, onReport)
      if (!mayAskAnother(sent)) return sent
    }
    return Left(pathLostFailure('no'))
  }

  /** Like {@link TargetEndProbe.isTerminated}, as another VM finds; false if none can tell. */
  async isTerminated (address: string, service: string, timeoutMs: number): Promise<boolean> {
    const peer = this.leastUsed(this.parts.peers(service))
    if (peer === undefined) return false
    const answer = await this.parts.call(peer.address, relayMethods.probe, { address, service, timeoutMs }, 2 * timeoutMs)
    return answer.map(isTerminated => isTerminated === true).orDefault(false)
  }

  private async sendThrough (peer: PeerVm, req: TargetRequest, stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>> {
    this.nextExchange += 1
    const relayed: RelayedCall = { peer, exchange: String(this.nextExchange), req, stop }
    const close = this.track(relayed)
    const answered = await this.call(relayed, relayMethods.send, encodeRequest(relayed), req.timeoutMs)
    const decoded = answered.chain(value => decode(() => relayedHeadSchema.parse(value)))
    decoded.ifRight(({ report }) => { if (report !== undefined) onReport(report) })
    const answer = decoded.chain(head => this.toAnswer(relayed, head, close))
    if (answer.isLeft()) close()
    this.parts.metrics.count('calls_relayed')
    const failure = failureOf(answer)
    this.parts.log.write('callRelayed', { request: req.requestId, runner: req.target.id, peer: peer.holder, code: failure?.code, ran: failure?.ran })
    return answer
  }

  private toAnswer (relayed: RelayedCall, { failure, head, first }: RelayedHead, close: () => void): Either<Failure, TargetAnswer> {
    if (failure !== undefined) return Left(failure)
    if (head === undefined || first === undefined) return Left(new Failure('peerRefused', 'the VM that relays the request returned no answer', { ran: 'unknown' }))
    return Right({
      head,
      read: async onBytes => {
        let isComplete = false
        try {
          const read = await this.readAll(relayed, first, onBytes)
          isComplete = read.isRight()
          return read
        } finally {
          close()
          if (!isComplete) this.cancel(relayed)
        }
      }
    })
  }

  private async readAll (relayed: RelayedCall, first: RelayedBytes, onBytes: (bytes: Buffer) => Promise<void> | undefined): Promise<Either<Failure, void>> {
    const { exchange, req } = relayed
    for (let piece = first; ;) {
      if (piece.bytes.length > 0) await onBytes(piece.bytes)
      if (piece.failure !== undefined) return Left(piece.failure)
      if (piece.isEnd) return Right(undefined)
      const next = (await this.call(relayed, relayMethods.read, { exchange }, req.timeoutMs)).chain(value => decode(() => relayedBytesSchema.parse(value)))
      if (next.isLeft()) return next.mapLeft(toReadFailure)
      piece = next.unsafeCoerce()
    }
  }

  /** Ends at once, with a failure, when the request is stopped. */
  private async call ({ peer, stop }: RelayedCall, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>> {
    let onStop = (): void => {}
    const stopped = new Promise<Either<Failure, unknown>>(resolve => {
      onStop = () => { resolve(Left(new Failure('answerCut', 'stopped', { ran: 'unknown' }))) }
      stop.addEventListener('abort', onStop)
      if (stop.aborted) onStop()
    })
    try {
      return (await Promise.race([this.parts.call(peer.address, method, params, timeoutMs), stopped])).mapLeft(toRelayFailure)
    } finally {
      stop.removeEventListener('abort', onStop)
    }
  }

  private cancel ({ peer: { address }, exchange }: RelayedCall): void {
    this.parts.notify(address, relayMethods.cancel, { exchange })
  }

  private track (relayed: RelayedCall): () => void {
    const { peer: { address }, stop } = relayed
    const count = (step: number): void => { this.open.set(address, (this.open.get(address) ?? 0) + step) }
    const onStop = (): void => { this.cancel(relayed) }
    count(1)
    stop.addEventListener('abort', onStop)
    return () => {
      count(-1)
      stop.removeEventListener('abort', onStop)
    }
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }

  private leastUsed (peers: readonly PeerVm[]): PeerVm | undefined {
    const least = Math.min(...peers.map(({ address }) => this.open.get(address) ?? 0))
    const equals = peers.filter(({ address }) => (this.open.get(address) ?? 0) === least)
    return equals[Math.floor(this.parts.random.next() * equals.length)]
  }
}

function encodeRequest ({ exchange, req: { target: { id, address }, team, resumeAfter, ...req } }: RelayedCall): unknown {
  return { ...req, exchange, target: { id, address }, ...(team === undefined ? {} : { team }), ...(resumeAfter === undefined ? {} : { resumeAfter }) }
}

function decode<T> (parse: () => T): Either<Failure, T> {
  return Either.encase(parse).mapLeft(err => new Failure('peerRefused', toFailure(err).message, { ran: 'unknown' }))
}

/** A lost link says nothing about the target, unlike a failure that the other VM reports of it. */
function toRelayFailure (failure: Failure): Failure {
  return failure.ran !== 'no' && failure.code === 'peerUnreachable' ? pathLostFailure(failure.ran) : failure
}

/** A read that was not sent says nothing about the request, which the other VM has sent to the target. */
function toReadFailure (failure: Failure): Failure {
  return failure.ran === 'no' ? pathLostFailure('unknown') : failure
}

/** Failures of links and of VMs that have not sent the request; they say nothing about the target. */
const unsentCodes = new Set<ResultName>(['peerUnreachable', 'peerRefused', 'overloaded', 'draining', 'bodyTooLarge', 'bodiesFull', 'targetsUnreachable'])

/** Whether the request reached no target, and another VM may reach one. */
function mayAskAnother (sent: Either<Failure, unknown>): boolean {
  const failure = failureOf(sent)
  return failure?.ran === 'no' && unsentCodes.has(failure.code)
}
