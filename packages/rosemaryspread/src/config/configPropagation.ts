/**
 * Propagates versions between VMs: each VM polls the table for the current version, pushes each version that comes
 * into force to a few peers, and fetches from the pushing peer what the table does not return in time. Polls alone
 * suffice; pushes reduce the delay, and peers replace the table during an outage.
 */
import type { Either } from 'purify-ts'
import * as z from 'zod'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { versionRefSchema, versionRowSchema, fullConfigSchema, type VersionRef } from '@rosemaryspread/decisions/config/configRows.js'
import type { VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ConfigStore } from './configStore.js'
import type { ConfigPeers, ConfigPropagationSettings, ConfigTimers } from './configTypes.js'

/** Method that notifies a peer of a version. */
export const PUSH_METHOD = 'config.push'
/** Method that fetches newer versions from a peer. */
export const FETCH_METHOD = 'config.fetch'

/** Bound of the polls of the whole fleet, to limit the load on the table. */
const MAX_FLEET_POLLS_PER_SECOND = 100
const MS_PER_SECOND = 1_000
/** Maximum random deviation of a period, as a fraction of it. */
const JITTER = 0.2

const pushSchema = versionRefSchema.extend({
  /** Peer address of the sender. */
  from: z.string()
})
const fetchSchema = z.object({ after: z.number().int().nonnegative().optional() })
const fetchResponseSchema = z.object({ whole: fullConfigSchema.optional(), rows: z.array(versionRowSchema) }).nullable()

/** Dependencies of {@link ConfigPropagation}. */
export interface ConfigPropagationDeps {
  readonly store: ConfigStore
  readonly peers: ConfigPeers
  /** Address under which peers reach this VM. */
  readonly address: string
  readonly timers: ConfigTimers
  readonly random: () => number
  readonly log: EventLog
  readonly settings: ConfigPropagationSettings
}

/**
 * Milliseconds between polls: the setting, or longer in large fleets to bound the fleet's polls.
 * @param vms - VMs of the fleet
 */
export function pollPeriod (pollMs: number, vms: number): number {
  return Math.max(pollMs, vms * MS_PER_SECOND / MAX_FLEET_POLLS_PER_SECOND)
}

function parseParams<T> (schema: z.ZodType<T>, params: unknown): T {
  const result = schema.safeParse(params)
  if (result.success) return result.data
  throw new Failure('badRequest', result.error.message, { ran: 'no' })
}

/** Configuration propagation of one VM. */
export class ConfigPropagation {
  readonly #deps: ConfigPropagationDeps
  #stopped = true
  #isTableReachable = true
  #cancels = new Set<() => void>()

  constructor (deps: ConfigPropagationDeps) {
    this.#deps = deps
    deps.store.onChange(held => this.#push(held))
  }

  /** Starts polling. */
  start (): void {
    if (!this.#stopped) return
    this.#stopped = false
    this.#scheduleRepeated(() => pollPeriod(this.#deps.settings.pollMs, this.#fleetSize()), async () => { await this.poll() })
    this.#scheduleRepeated(() => this.#deps.settings.repairMs * Math.max(1, this.#fleetSize() / MAX_FLEET_POLLS_PER_SECOND), async () => { await this.#repair() })
  }

  /** Stops polling; requests of peers are still served. */
  stop (): void {
    this.#stopped = true
    for (const cancel of this.#cancels) cancel()
    this.#cancels.clear()
  }

  /** Looks once for a higher version: in the table, and at one peer when the table is unavailable or behind. */
  async poll (): Promise<void> {
    const outcome = await this.#deps.store.refresh()
    this.#updateReachability(outcome)
    const { advertised, version } = this.#deps.store.status
    const isBehind = version === undefined || (advertised ?? 0) > version
    if (outcome.isRight() && !isBehind) return
    const address = this.#pickPeers(1)[0]
    if (address !== undefined) await this.#fetchFrom(address)
  }

  /**
   * Serves {@link PUSH_METHOD}. A process without a version in force ignores pushes and gets its first from
   * `load` or a poll, as the sender may be behind what an earlier process of this VM had in force.
   * @param params - version, digest and address of the sender
   */
  async onPush (params: unknown): Promise<unknown> {
    const push = parseParams(pushSchema, params)
    const held = this.#deps.store.inForce
    if (held === undefined || held.version >= push.version) return null
    this.#schedule(this.#deps.settings.hedgeMs, () => this.#hedgeFetch(push, push.from))
    this.#runInBackground(this.#deps.store.onAdvertised('peer', { version: push.version, digest: push.digest }))
    return null
  }

  /**
   * Serves {@link FETCH_METHOD}.
   * @param params - the version of the peer
   */
  async onFetch (params: unknown): Promise<unknown> {
    const { after } = parseParams(fetchSchema, params)
    return this.#deps.store.candidateAfter(after) ?? null
  }

  #fleetSize (): number {
    return this.#deps.peers.addresses().length + 1
  }

  #push (held: VerifiedConfig): void {
    const { settings, peers, address } = this.#deps
    const params = { version: held.version, digest: held.digest, from: address }
    for (const peer of this.#pickPeers(settings.fanout)) {
      this.#runInBackground(peers.call(peer, PUSH_METHOD, params, settings.peerTimeoutMs))
    }
  }

  #hedgeFetch (ref: VersionRef, peer: string): void {
    const held = this.#deps.store.inForce
    if (held === undefined || held.version < ref.version) this.#runInBackground(this.#fetchFrom(peer))
  }

  async #fetchFrom (peer: string): Promise<void> {
    const { store, peers, settings, log } = this.#deps
    const after = store.inForce?.version
    const outcome = await peers.call(peer, FETCH_METHOD, after === undefined ? {} : { after }, settings.peerTimeoutMs)
    outcome.caseOf({
      Left: failure => log.write('peerFault', { peer, method: FETCH_METHOD, code: failure.code }),
      Right: value => {
        const answer = fetchResponseSchema.safeParse(value)
        if (!answer.success) log.write('peerFault', { peer, method: FETCH_METHOD, code: 'badRequest' })
        else if (answer.data !== null) store.deliver('peer', answer.data)
      }
    })
  }

  #updateReachability (outcome: Either<Failure, unknown>): void {
    const isReachable = outcome.isRight()
    if (this.#isTableReachable && !isReachable) {
      const code = outcome.swap().map(failure => failure.code).extract()
      this.#deps.log.write('configUnreachable', { version: this.#deps.store.inForce?.version, code })
    }
    this.#isTableReachable = isReachable
  }

  async #repair (): Promise<void> {
    const held = this.#deps.store.inForce
    if (held !== undefined) await this.#deps.store.snapshots.repair(held)
  }

  /** Random peers, each with the same probability. */
  #pickPeers (count: number): readonly string[] {
    const all = [...this.#deps.peers.addresses()]
    const picked: string[] = []
    while (picked.length < count && all.length > 0) {
      const index = Math.floor(this.#deps.random() * all.length)
      picked.push(...all.splice(index, 1))
    }
    return picked
  }

  /** Does not wait for earlier work: during a partition it ends only with the timeouts of its calls, which would delay the next. */
  #scheduleRepeated (period: () => number, work: () => Promise<void>): void {
    const ms = period() * (1 + JITTER * (2 * this.#deps.random() - 1))
    this.#schedule(ms, () => {
      this.#scheduleRepeated(period, work)
      this.#runInBackground(work())
    })
  }

  /** Runs work in the background and logs its failure. */
  #runInBackground (work: Promise<unknown>): void {
    work.catch(err => this.#deps.log.write('fault', { err: toFailure(err).message }))
  }

  #schedule (ms: number, fn: () => void): void {
    const cancel = this.#deps.timers.after(ms, () => {
      this.#cancels.delete(cancel)
      fn()
    })
    this.#cancels.add(cancel)
  }
}
