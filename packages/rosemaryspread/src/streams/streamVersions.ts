/**
 * Knows which software version began a stream, also if that was at another VM. While a service has several versions, each VM tells two others of
 * the streams that begin at it and stores them, and a VM that is to resume a stream asks them and reads the store. With one version nothing is sent
 * until a stream is resumed.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { vmOf } from '@rosemaryspread/decisions/names/nameTypes.js'
import { ASKED_VMS, StreamHolders, TOLD_VMS } from '@rosemaryspread/decisions/streams/streamHolders.js'
import { StreamRecords } from '@rosemaryspread/decisions/streams/streamRecords.js'
import { begunStreamsSchema, MAX_STREAMS, streamAnswerSchema, streamQuerySchema, type ServiceVersions, type StreamAnswer, type StreamQuery } from '@rosemaryspread/decisions/streams/streamTypes.js'
import { decideVersion, type KnownVersion } from '@rosemaryspread/decisions/streams/streamVersion.js'
import type { PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import type { AdmittedCall, StreamOrigins } from '../gateway/callTypes.js'
import type { PeerVm } from '../presence/vmPresence.js'
import { streamKey } from './streamKey.js'
import type { StreamRows } from './streamRows.js'

/** Method names on the links between VMs. */
export const streamMethods = {
  /** Tells of streams that began. */
  began: 'streams.began',
  /** Asks for the version of a stream; returns {@link StreamAnswer}. */
  version: 'streams.version'
} as const

/** Time that the VMs asked have to answer; a round trip takes a few milliseconds. */
const ASK_TIMEOUT_MS = 200
/** Time for which what a VM knows from the store lets it tell others that a service has one version. */
const CONFIRMED_MS = 2_000

export interface StreamVersionsParts {
  readonly clock: Clock
  /** Time for which a stream may be resumed, in milliseconds. */
  lifetimeMs (): number
  /**
   * Versions of a service over a time until now.
   * @param maxAgeMs - age of what is known from the store beyond which it does not show that the service has one version
   */
  versions (service: string, spanMs: number, maxAgeMs?: number): ServiceVersions
  /** The same, confirmed by a read of the store that begins now. */
  confirmedVersions (service: string, spanMs: number): Promise<ServiceVersions>
  /** Records that outlive the VMs. */
  readonly stored: Pick<StreamRows, 'add' | 'load' | 'tick'>
  readonly log: EventLog
  /** The other VMs that can be called. */
  peers (): readonly PeerVm[]
  call (address: string, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>>
  notify (address: string, method: string, params: unknown): void
}

/** A stream that was not stored, as its service had one version as far as known. */
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

  /** Takes over a record from the store; what this VM knows itself is newer. */
  receive (key: string, version: string): void {
    if (this.records.versionOf(key) === undefined) this.records.add(key, version, this.mono)
  }

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
    const { kind } = this.versionsOf(service)
    if (kind !== 'several') this.untold.set(key, { service, version, at: this.mono })
    if (kind !== 'sole') this.tell([[key, version]])
    if (kind === 'several') this.parts.stored.add(key, version)
  }

  async versionOf ({ service, team, call: { requestId, resumption } }: AdmittedCall): Promise<Either<Failure, KnownVersion>> {
    // Of a stream that its caller does not name there is no record, but its service may have had one version only.
    const key = streamKey(service, team, resumption?.requestId ?? '')
    const recorded = this.records.versionOf(key)
    if (recorded !== undefined) return Right({ version: recorded, source: 'ownRecord' })
    const confirmed = this.parts.confirmedVersions(service, this.parts.lifetimeMs())
    const answers = await this.ask({ key, service })
    const isRecorded = answers.some(({ version }) => version !== undefined)
    const own: ServiceVersions = isRecorded ? { kind: 'unknown' } : await confirmed
    const known = decideVersion(own, answers)
    if (known !== undefined) return Right(known)
    const isLoaded = await this.parts.stored.load()
    const stored = this.records.versionOf(key)
    if (stored !== undefined) return Right({ version: stored, source: 'storedRecord' })
    this.parts.log.write('streamUnknown', { request: requestId, stream: resumption?.requestId, own, answers: answers.map(({ service: other }) => other.kind), loaded: isLoaded })
    return Left(new Failure('streamUnknown', 'neither the store nor a VM that can be asked knows which software version began the stream', { ran: 'no' }))
  }

  /** Tells of streams whose service has several versions now, and drops old records; to be called several times a second. */
  tick (): void {
    const lifetimeMs = this.parts.lifetimeMs()
    this.records.forget(lifetimeMs, this.mono)
    const due: Array<[key: string, version: string]> = []
    const kinds = new Map<string, ServiceVersions['kind']>()
    for (const [key, { service, version, at }] of this.untold) {
      const kind = kinds.get(service) ?? this.versionsOf(service).kind
      kinds.set(service, kind)
      if (kind === 'several') due.push([key, version])
      if (kind === 'several' || this.mono - at > lifetimeMs) this.untold.delete(key)
    }
    this.tell(due)
    for (const [key, version] of due) this.parts.stored.add(key, version)
    this.parts.stored.tick()
  }

  private answer ({ key, service }: StreamQuery): StreamAnswer {
    const version = this.records.versionOf(key)
    return { ...(version === undefined ? {} : { version }), service: this.versionsOf(service, CONFIRMED_MS) }
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

  private versionsOf (service: string, maxAgeMs?: number): ServiceVersions {
    return this.parts.versions(service, this.parts.lifetimeMs(), maxAgeMs)
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

function nameOf ({ holder }: PeerVm): string {
  return vmOf(holder)
}
