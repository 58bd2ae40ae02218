/**
 * Knows which software version began a stream, also if that was at another VM. While a service has several versions, each VM tells two others of
 * the streams that begin at it, and a VM that is to resume a stream asks them. With one version nothing is sent until a stream is resumed.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { vmOf } from '@rosemaryspread/decisions/names/nameTypes.js'
import { ASKED_VMS, StreamHolders, TOLD_VMS } from '@rosemaryspread/decisions/streams/streamHolders.js'
import { StreamRecords } from '@rosemaryspread/decisions/streams/streamRecords.js'
import { begunStreamsSchema, MAX_STREAMS, streamAnswerSchema, streamQuerySchema, type ServiceVersions, type StreamAnswer, type StreamQuery } from '@rosemaryspread/decisions/streams/streamTypes.js'
import { decideVersion, type KnownVersion } from '@rosemaryspread/decisions/streams/streamVersion.js'
import type { PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import type { AdmittedCall, StreamOrigins } from '../gateway/callTypes.js'
import type { PeerVm } from '../presence/vmPresence.js'
import { streamKey } from './streamKey.js'

/** Method names on the links between VMs. */
export const streamMethods = {
  /** Tells of streams that began. */
  began: 'streams.began',
  /** Asks for the version of a stream; returns {@link StreamAnswer}. */
  version: 'streams.version'
} as const

/** Time that the VMs asked have to answer; a round trip takes a few milliseconds. */
const ASK_TIMEOUT_MS = 200

export interface StreamVersionsParts {
  readonly clock: Clock
  /** Time for which a stream may be resumed, in milliseconds. */
  lifetimeMs (): number
  /** Versions of a service over a time until now. */
  versions (service: string, spanMs: number): ServiceVersions
  /** The other VMs that can be called. */
  peers (): readonly PeerVm[]
  call (address: string, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>>
  notify (address: string, method: string, params: unknown): void
}

/** A stream of which no other VM was told, as its service had one version. */
interface UntoldStream {
  readonly service: string
  readonly version: string
  readonly at: number
}

/** Times are monotonic milliseconds. */
export class StreamVersions implements StreamOrigins {
  private readonly records = new StreamRecords()
  private readonly holders = new StreamHolders()
  /** By the key of the stream, oldest first. */
  private readonly untold = new Map<string, UntoldStream>()

  constructor (private readonly parts: StreamVersionsParts) {}

  /** Link methods by their name. */
  methods (): ReadonlyMap<string, PeerMethodHandler> {
    return new Map<string, PeerMethodHandler>([
      [streamMethods.began, async params => {
        for (const [key, version] of begunStreamsSchema.parse(params).streams) this.records.add(key, version, this.mono)
      }],
      [streamMethods.version, async params => this.answer(streamQuerySchema.parse(params))]
    ])
  }

  began ({ service, team, call: { requestId, resumption } }: AdmittedCall, version: string): void {
    const origin = resumption === undefined ? requestId : resumption.requestId
    if (origin === undefined) return
    const key = streamKey(service, team, origin)
    this.records.add(key, version, this.mono)
    if (this.versionsOf(service).kind === 'sole') this.untold.set(key, { service, version, at: this.mono })
    else this.tell([[key, version]])
  }

  async versionOf ({ service, team, call: { resumption } }: AdmittedCall): Promise<Either<Failure, KnownVersion>> {
    // Of a stream that its caller does not name there is no record, but its service may have had one version only.
    const key = streamKey(service, team, resumption?.requestId ?? '')
    const recorded = this.records.versionOf(key)
    if (recorded !== undefined) return Right({ version: recorded, source: 'ownRecord' })
    const answers = await this.ask({ key, service })
    const known = decideVersion(this.versionsOf(service), answers)
    return known === undefined ? Left(new Failure('streamUnknown', 'no VM that can be asked knows which software version began the stream', { ran: 'no' })) : Right(known)
  }

  /** Tells of streams whose service has several versions now, and drops old records; to be called several times a second. */
  tick (): void {
    const lifetimeMs = this.parts.lifetimeMs()
    this.records.forget(lifetimeMs, this.mono)
    const due: Array<[key: string, version: string]> = []
    const soleByService = new Map<string, boolean>()
    for (const [key, { service, version, at }] of this.untold) {
      const isSole = soleByService.get(service) ?? this.versionsOf(service).kind === 'sole'
      soleByService.set(service, isSole)
      if (!isSole) due.push([key, version])
      if (!isSole || this.mono - at > lifetimeMs) this.untold.delete(key)
    }
    this.tell(due)
  }

  private answer ({ key, service }: StreamQuery): StreamAnswer {
    const version = this.records.versionOf(key)
    return { ...(version === undefined ? {} : { version }), service: this.versionsOf(service) }
  }

  /** Resolves with the first record, or with all answers once none is left to come. */
  private async ask (query: StreamQuery): Promise<readonly StreamAnswer[]> {
    const asked = this.holders.highest(query.key, this.parts.peers(), nameOf, ASKED_VMS)
    const answers: StreamAnswer[] = []
    return await new Promise(resolve => {
      const calls = asked.map(async ({ address }) => {
        const answered = await this.parts.call(address, streamMethods.version, query, ASK_TIMEOUT_MS)
        answered.ifRight(value => {
          const parsed = streamAnswerSchema.safeParse(value)
          if (!parsed.success) return
          answers.push(parsed.data)
          if (parsed.data.version !== undefined) resolve([parsed.data])
        })
      })
      Promise.allSettled(calls).then(() => { resolve(answers) }, () => {})
    })
  }

  private tell (streams: ReadonlyArray<readonly [key: string, version: string]>): void {
    if (streams.length === 0) return
    const peers = this.parts.peers()
    const byAddress = new Map<string, Array<readonly [string, string]>>()
    for (const stream of streams) {
      for (const { address } of this.holders.highest(stream[0], peers, nameOf, TOLD_VMS)) {
        const told = byAddress.get(address) ?? []
        told.push(stream)
        byAddress.set(address, told)
      }
    }
    for (const [address, told] of byAddress) {
      for (let from = 0; from < told.length; from += MAX_STREAMS) this.parts.notify(address, streamMethods.began, { streams: told.slice(from, from + MAX_STREAMS) })
    }
  }

  private versionsOf (service: string): ServiceVersions {
    return this.parts.versions(service, this.parts.lifetimeMs())
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

function nameOf ({ holder }: PeerVm): string {
  return vmOf(holder)
}
