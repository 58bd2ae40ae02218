/**
 * Propagates versions between VMs: each VM polls the table for the current version, pushes each version that comes
 * into force to a few peers, and fetches from the pushing peer what the table does not return in time. Polls alone
 * suffice; pushes reduce the delay, and peers replace the table during an outage.
 */
import type { Either } from 'purify-ts'
import * as z from 'zod'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { versionMarkSchema, versionRowSchema, wholeConfigSchema, type VersionMark } from '@rosemaryspread/decisions/config/configRows.js'
import type { HeldConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ConfigStore } from './configStore.js'
import type { ConfigPeers, ConfigSpreadSettings, ConfigTimers } from './configTypes.js'

/** Method that notifies a peer of a version. */
export const PUSH_METHOD = 'config.push'
/** Method that fetches newer versions from a peer. */
export const FETCH_METHOD = 'config.fetch'

/** Bound of the polls of the whole fleet, to limit the load on the table. */
const FLEET_POLLS_PER_SECOND = 100
const SECOND_MS = 1_000
/** Maximum random deviation of a period, as a fraction of it. */
const JITTER = 0.2

const pushSchema = versionMarkSchema.extend({
  /** Peer address of the sender. */
  from: z.string()
})
const fetchSchema = z.object({ after: z.number().int().nonnegative().optional() })
const fetchAnswerSchema = z.object({ whole: wholeConfigSchema.optional(), rows: z.array(versionRowSchema) }).nullable()

/** Dependencies of {@link ConfigPropagation}. */
export interface ConfigSpreadParts {
  readonly store: ConfigStore
  readonly peers: ConfigPeers
  /** Address under which peers reach this VM. */
  readonly address: string
  readonly timers: ConfigTimers
  readonly random: () => number
  readonly log: EventLog
  readonly settings: ConfigSpreadSettings
}

/**
 * Milliseconds between polls: the setting, or longer in large fleets to bound the fleet's polls.
 * @param vms - VMs of the fleet
 */
export function pollPeriod (pollMs: number, vms: number): number {
  return Math.max(pollMs, vms * SECOND_MS / FLEET_POLLS_PER_SECOND)
}

function parseParams<T> (schema: z.ZodType<T>, params: unknown): T {
  const result = schema.safeParse(params)
  if (result.success) return result.data
  throw new Failure('badRequest', result.error.message)
}

/** Configuration propagation of one VM. */
export class ConfigSpread {
  readonly #parts: ConfigSpreadParts
  #stopped = true
  #reachable = true
  #cancels = new Set<() => void>()

  constructor (parts: ConfigSpreadParts) {
    this.#parts = parts
    parts.store.onChange(held => this.#push(held))
  }

  /** Starts polling. */
  start (): void {
    if (!this.#stopped) return
    this.#stopped = false
    this.#repeat(() => pollPeriod(this.#parts.settings.pollMs, this.#vms()), async () => { await this.poll() })
    this.#repeat(() => this.#parts.settings.repairMs * Math.max(1, this.#vms() / FLEET_POLLS_PER_SECOND), async () => { await this.#repair() })
  }

  /** Stops polling; requests of peers are still served. */
  stop (): void {
    this.#stopped = true
    for (const cancel of this.#cancels) cancel()
    this.#cancels.clear()
  }

  /** Looks once for a higher version: in the table, and at one peer when the table is unavailable or behind. */
  async poll (): Promise<void> {
    const outcome = await this.#parts.store.refresh()
    this.#noteReachable(outcome)
    const { heard, version } = this.#parts.store.status
    const isBehind = version === undefined || (heard ?? 0) > version
    if (outcome.isRight() && !isBehind) return
    const address = this.#pick(1)[0]
    if (address !== undefined) await this.#fetchFrom(address)
  }

  /**
   * Serves {@link PUSH_METHOD}. A process without a version in force ignores pushes and takes its first from
   * `load` or a poll, as the sender may be behind what an earlier process of this VM had in force.
   * @param params - version, digest and address of the sender
   */
  async onPush (params: unknown): Promise<unknown> {
    const push = parseParams(pushSchema, params)
    const held = this.#parts.store.inForce
    if (held === undefined || held.version >= push.version) return null
    this.#later(this.#parts.settings.hedgeMs, () => this.#hedge(push, push.from))
    this.#run(this.#parts.store.hear('peer', { version: push.version, digest: push.digest }))
    return null
  }

  /**
   * Serves {@link FETCH_METHOD}.
   * @param params - the version of the peer
   */
  async onFetch (params: unknown): Promise<unknown> {
    const { after } = parseParams(fetchSchema, params)
    return this.#parts.store.candidateAfter(after) ?? null
  }

  #vms (): number {
    return this.#parts.peers.addresses().length + 1
  }

  #push (held: HeldConfig): void {
    const { settings, peers, address } = this.#parts
    const params = { version: held.version, digest: held.digest, from: address }
    for (const peer of this.#pick(settings.fanout)) {
      this.#run(peers.call(peer, PUSH_METHOD, params, settings.peerTimeoutMs))
    }
  }

  #hedge (mark: VersionMark, peer: string): void {
    const held = this.#parts.store.inForce
    if (held === undefined || held.version < mark.version) this.#run(this.#fetchFrom(peer))
  }

  async #fetchFrom (peer: string): Promise<void> {
    const { store, peers, settings, log } = this.#parts
    const after = store.inForce?.version
    const outcome = await peers.call(peer, FETCH_METHOD, after === undefined ? {} : { after }, settings.peerTimeoutMs)
    outcome.caseOf({
      Left: failure => log.write('peerFault', { peer, method: FETCH_METHOD, code: failure.code }),
      Right: value => {
        const answer = fetchAnswerSchema.safeParse(value)
        if (!answer.success) log.write('peerFault', { peer, method: FETCH_METHOD, code: 'badRequest' })
        else if (answer.data !== null) store.deliver('peer', answer.data)
      }
    })
  }

  #noteReachable (outcome: Either<Failure, unknown>): void {
    const reachable = outcome.isRight()
    if (this.#reachable && !reachable) {
      const code = outcome.swap().map(failure => failure.code).extract()
      this.#parts.log.write('configUnreachable', { version: this.#parts.store.inForce?.version, code })
    }
    this.#reachable = reachable
  }

  async #repair (): Promise<void> {
    const held = this.#parts.store.inForce
    if (held !== undefined) await this.#parts.store.snapshots.repair(held)
  }

  /** Random peers, each with the same probability. */
  #pick (count: number): readonly string[] {
    const all = [...this.#parts.peers.addresses()]
    const picked: string[] = []
    while (picked.length < count && all.length > 0) {
      const index = Math.floor(this.#parts.random() * all.length)
      picked.push(...all.splice(index, 1))
    }
    return picked
  }

  #repeat (period: () => number, work: () => Promise<void>): void {
    const ms = period() * (1 + JITTER * (2 * this.#parts.random() - 1))
    this.#later(ms, () => {
      this.#run(work().finally(() => { if (!this.#stopped) this.#repeat(period, work) }))
    })
  }

  /** Runs work in the background and logs its failure. */
  #run (work: Promise<unknown>): void {
    work.catch(err => this.#parts.log.write('fault', { err: toFailure(err).message }))
  }

  #later (ms: number, fn: () => void): void {
    const cancel = this.#parts.timers.after(ms, () => {
      this.#cancels.delete(cancel)
      fn()
    })
    this.#cancels.add(cancel)
  }
}
