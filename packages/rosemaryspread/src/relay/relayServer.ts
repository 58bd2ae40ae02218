/**
 * Sends requests to targets for VMs that have lost their own path, always over connections of this VM: a request is relayed once at most.
 */
import { Failure, failureOf } from '@rosemaryspread/decisions/codes/failure.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import type { DrainState } from '../completion/completionPorts.js'
import type { TargetClient, TargetEndProbe } from '../gateway/callTypes.js'
import type { ByteBudget } from '../gateway/byteBudget.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import { RelayedExchange } from './relayedExchange.js'
import { encodeFailure, exchangeSchema, probedTargetSchema, relayedRequestSchema, relayMethods, type RelayedBytes } from './relayTypes.js'

/** Time for which a cancelled request is refused if it arrives; opening a link takes less. */
const EARLY_CANCEL_TTL_MS = 1_000

export interface RelayServerParts {
  /** Sends over connections of this VM only. */
  readonly client: TargetClient
  /** Checks over connections of this VM only. */
  readonly probe: TargetEndProbe
  readonly work: DrainState
  /** Bodies of requests that this VM holds, its own callers' among them. */
  readonly bodies: ByteBudget
  readonly metrics: Metrics
}

export class RelayServer {
  /** Open requests, by the VM that asked and its id. */
  private readonly exchanges = new Map<string, RelayedExchange>()
  private readonly cancelledEarly = new Set<string>()

  constructor (private readonly parts: RelayServerParts) {}

  /** Link methods by their name. */
  methods (): ReadonlyMap<string, PeerMethodHandler> {
    return new Map<string, PeerMethodHandler>([
      [relayMethods.send, async (params, from) => await this.send(params, from)],
      [relayMethods.read, async (params, from) => await this.read(params, from)],
      [relayMethods.cancel, async (params, from) => { this.cancel(keyOf(exchangeSchema.parse(params).exchange, from)) }],
      [relayMethods.probe, async params => {
        const { address, service, timeoutMs } = probedTargetSchema.parse(params)
        return await this.parts.probe.isTerminated(address, service, timeoutMs)
      }]
    ])
  }

  private async send (params: unknown, from: string): Promise<unknown> {
    const { exchange: id, team, resumeAfter, ...req } = relayedRequestSchema.parse(params)
    const { client, work, bodies, metrics } = this.parts
    if (work.draining) throw new Failure('draining', 'this VM is draining', { ran: 'no' })
    const key = keyOf(id, from)
    if (this.cancelledEarly.has(key)) throw new Failure('callerGone', 'the request was cancelled before it arrived', { ran: 'no' })
    const bodyBytes = req.body.length
    if (!bodies.tryHold(bodyBytes)) throw new Failure('bodiesFull', 'this VM has no memory left for the body', { ran: 'no' })
    metrics.count('calls_relayed_for_others')
    const exchange = this.open(key, () => { bodies.release(bodyBytes) })
    let report: TargetReport | undefined
    const sent = await client.send({ ...req, team, resumeAfter }, exchange.signal, received => { report = received })
    const failure = failureOf(sent)
    if (failure !== undefined) {
      exchange.cancel()
      return { ...(report === undefined ? {} : { report }), failure: encodeFailure(failure) }
    }
    const answer = sent.unsafeCoerce()
    exchange.receive(answer)
    return { ...(report === undefined ? {} : { report }), head: answer.head, first: encodeBytes(await exchange.readFirst()) }
  }

  private async read (params: unknown, from: string): Promise<unknown> {
    const exchange = this.exchanges.get(keyOf(exchangeSchema.parse(params).exchange, from))
    if (exchange === undefined) throw new Failure('answerCut', 'the request is not open at this VM any more', { ran: 'unknown' })
    return encodeBytes(await exchange.read())
  }

  /** A notification may overtake the call before it on a link that is being opened. */
  private cancel (key: string): void {
    const exchange = this.exchanges.get(key)
    if (exchange !== undefined) {
      exchange.cancel()
      return
    }
    this.cancelledEarly.add(key)
    setTimeout(() => { this.cancelledEarly.delete(key) }, EARLY_CANCEL_TTL_MS).unref()
  }

  private open (key: string, onClosed: () => void): RelayedExchange {
    const close = this.parts.work.open()
    const exchange = new RelayedExchange(() => {
      this.exchanges.delete(key)
      close()
      onClosed()
    })
    this.exchanges.set(key, exchange)
    return exchange
  }
}

function keyOf (exchange: string, from: string): string {
  return `${from}/${exchange}`
}

function encodeBytes ({ failure, ...piece }: RelayedBytes): unknown {
  return { ...piece, ...(failure === undefined ? {} : { failure: encodeFailure(failure) }) }
}
