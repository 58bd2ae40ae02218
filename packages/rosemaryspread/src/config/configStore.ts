/**
 * The configuration on this VM: version in force, patches, older versions and history, based on the table service
 * and the object store. {@link MonotonicConfigDecider} decides which version is in force; this class carries out
 * its actions.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { MonotonicConfigDecider, type ConfigAction, type ConfigCandidate, type ConfigDecider, type ConfigEvent, type ConfigSource, type ConfigStatus } from '@rosemaryspread/decisions/config/configDecider.js'
import { initialConfig, type VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { VersionRef } from '@rosemaryspread/decisions/config/configRows.js'
import type { ConfigAnswer, HistoryEntry, PatchAnswer, PatchRequest } from '@rosemaryspread/operators/admin/adminTypes.js'
import { ConfigFetcher } from './configFetcher.js'
import { ConfigPatcher, type AcceptedPatch } from './configPatcher.js'
import { ConfirmedTable, ConfigReader } from './configReader.js'
import { ConfigSnapshots } from './configSnapshots.js'
import { delay, type ConfigListener, type ConfigStoreDeps } from './configTypes.js'
import { ConfigVersions } from './configVersions.js'
import { RecentRows } from './recentRows.js'

/** Maximum number of versions that one call of `history` returns. */
const MAX_HISTORY = 1_000

export class ConfigStore {
  readonly #deps: ConfigStoreDeps
  readonly #confirmedTable: ConfirmedTable
  readonly #reader: ConfigReader
  readonly #versions: ConfigVersions
  readonly #decider: ConfigDecider
  readonly #fetcher: ConfigFetcher
  readonly #recentRows = new RecentRows()
  readonly #listeners: ConfigListener[] = []
  readonly snapshots: ConfigSnapshots

  /**
   * @param decider - replaced in tests only
   */
  constructor (deps: ConfigStoreDeps, decider?: ConfigDecider) {
    const initial = initialConfig()
    this.#deps = deps
    this.#confirmedTable = new ConfirmedTable(deps.table, async ms => { await delay(deps.timers, ms) })
    this.#reader = new ConfigReader(deps.table, initial)
    this.snapshots = new ConfigSnapshots(deps.objects)
    this.#versions = new ConfigVersions(this.#reader, this.snapshots, initial)
    this.#decider = decider ?? new MonotonicConfigDecider(initial)
    this.#fetcher = new ConfigFetcher(this.#versions, this.snapshots, deps.log, {
      version: () => this.inForce?.version,
      deliver: (source, candidate) => this.deliver(source, candidate)
    })
  }

  /** The version in force; undefined before the first. */
  get inForce (): VerifiedConfig | undefined {
    return this.#decider.inForce
  }

  get status (): ConfigStatus {
    return this.#decider.status
  }

  /**
   * Registers a listener for versions that come into force, in order.
   * @param listener - called synchronously; its exceptions are logged
   */
  onChange (listener: ConfigListener): void {
    this.#listeners.push(listener)
  }

  /**
   * Brings an initial version into force: from the table, or during an outage the newest one in the object
   * store that verifies.
   * @returns the version in force, or `configNotLoaded`
   */
  async load (): Promise<Either<Failure, VerifiedConfig>> {
    const outcome = await this.refresh()
    outcome.ifLeft(({ code }) => this.#deps.log.write('configUnreachable', { version: undefined, code }))
    if (this.inForce === undefined) await this.#fetcher.loadSnapshot()
    const held = this.inForce
    if (held !== undefined) return Right(held)
    return Left(new Failure('configNotLoaded', outcome.swap().map(failure => failure.message).orDefault('no version could be verified'), { ran: 'no' }))
  }

  /**
   * Reads the current version from the table and applies it when it is higher. The first version of a process
   * comes from a confirmed read, so that a lagging replica cannot take this VM below what an earlier process
   * of it had in force.
   * @returns the failure of the read; the version in force stays
   */
  async refresh (): Promise<Either<Failure, VersionRef>> {
    const held = this.inForce
    const found = held === undefined
      ? (await this.#reader.current(this.#confirmedTable)).map(mark => ({ mark, rows: [] }))
      : await this.#reader.poll(held.version)
    if (found.isLeft()) return found
    const { mark, rows } = found.unsafeCoerce()
    if (rows.length > 0) this.deliver('table', { rows })
    await this.onAdvertised('table', mark)
    return Right(mark)
  }

  /** Handles the newest version that a source advertises; fetches it when it is higher. */
  async onAdvertised (source: ConfigSource, ref: VersionRef): Promise<void> {
    for (const action of this.#decide({ kind: 'advertised', source, ref })) {
      if (action.kind === 'fetch') await this.#fetcher.fetch(action.target)
    }
  }

  /** Handles delivered versions; they come into force if they verify and are higher. */
  deliver (source: ConfigSource, candidate: ConfigCandidate): void {
    this.#decide({ kind: 'delivered', source, candidate })
    if (this.inForce?.version === candidate.rows.at(-1)?.version) this.#recentRows.add(candidate.rows)
  }

  /**
   * The versions that a peer lacks.
   * @param after - the peer's version; undefined when it has none
   * @returns rows or a full version; undefined when the peer is not behind
   */
  candidateAfter (after: number | undefined): ConfigCandidate | undefined {
    const held = this.inForce
    if (held === undefined || (after !== undefined && after >= held.version)) return undefined
    const rows = this.#recentRows.between(after ?? 0, held.version)
    if (rows !== undefined) return { rows }
    const { version, digest, document } = held
    return { whole: { version, digest, document }, rows: [] }
  }

  /**
   * Submits a patch as the next version.
   * @returns the new version; `configConflict` with the current version and the changes since the base;
   * `patchIdReused`, `patchInvalid` or `configInvalid` with the errors; `platformUnavailable` when nothing was
   * written, `platformOutcomeUnknown` when that is open
   */
  async patch (req: PatchRequest): Promise<Either<Failure, PatchAnswer>> {
    const isBehind = (this.inForce?.version ?? -1) < req.base
    if (isBehind) await this.refresh()
    const patcher = new ConfigPatcher(this.#confirmedTable, this.#reader, this.#deps, () => this.inForce, req)
    const outcome = req.dryRun ? await patcher.check() : await patcher.accept()
    if (outcome.isLeft()) return Left(await this.#logRefusal(req, outcome.extract() as Failure))
    const accepted = outcome.unsafeCoerce()
    if (!req.dryRun) this.#applyAccepted(req, accepted)
    return Right({ version: accepted.version, repeated: accepted.repeated, dryRun: req.dryRun })
  }

  /**
   * Reads a version.
   * @param version - the version in force when absent
   * @returns `notFound`, `configNotLoaded` or a failure of the platform
   */
  async get (version?: number): Promise<Either<Failure, ConfigAnswer>> {
    const held = this.inForce
    if (version === undefined || version === held?.version) {
      if (held !== undefined) return Right({ version: held.version, config: held.config })
      return Left(new Failure('configNotLoaded', 'no configuration is in force on this VM yet', { ran: 'no' }))
    }
    return (await this.#versions.at(version)).map(found => ({ version, config: found.config }))
  }

  /**
   * The newest accepted versions, newest first.
   * @param limit - maximum number of versions
   */
  async history (limit: number): Promise<Either<Failure, readonly HistoryEntry[]>> {
    const current = await this.#reader.current(this.#confirmedTable)
    if (current.isLeft()) return current
    const newest = current.unsafeCoerce().version
    const rows = await this.#reader.rows(Math.max(newest - Math.min(limit, MAX_HISTORY), 0), newest)
    return rows.map(all => all.reverse().map(({ version, patchId, author, at, patch }) => ({ version, patchId, author, at, patch })))
  }

  #decide (event: ConfigEvent): readonly ConfigAction[] {
    const actions = this.#decider.decide(event, this.#deps.clock.now())
    for (const action of actions) {
      if (action.kind === 'apply') this.#apply(action.source, action.held)
      if (action.kind === 'reject') this.#logUnverified(action)
    }
    return actions
  }

  #apply (source: ConfigSource, held: VerifiedConfig): void {
    this.#deps.log.write('configApplied', { version: held.version, source })
    for (const listener of this.#listeners) {
      try {
        listener(held, source)
      } catch (err) {
        this.#deps.log.write('fault', { err: toFailure(err).message })
      }
    }
  }

  #logUnverified ({ source, version, detail }: Extract<ConfigAction, { kind: 'reject' }>): void {
    this.#deps.log.write('configUnverified', { source, version, detail })
  }

  #applyAccepted (req: PatchRequest, { version, repeated, created }: AcceptedPatch): void {
    if (!repeated) this.#deps.log.write('configAccepted', { version, patchId: req.patchId, author: req.author })
    if (created === undefined) return
    this.#decide({ kind: 'accepted', source: 'patch', held: created.held })
    this.#recentRows.add([created.row])
    this.#storeVersion(created).catch(err => this.#deps.log.write('fault', { err: toFailure(err).message }))
  }

  async #storeVersion ({ row, held }: NonNullable<AcceptedPatch['created']>): Promise<void> {
    const stored = await this.snapshots.keep(row, held)
    stored.ifLeft(failure => this.#deps.log.write('platformFault', { service: 'objects', operation: 'configSnapshot', code: failure.code }))
  }

  async #logRefusal (req: PatchRequest, failure: Failure): Promise<Failure> {
    this.#deps.log.write('configRefused', { base: req.base, patchId: req.patchId, code: failure.code })
    if (failure.code !== 'configConflict') return failure
    await this.refresh()
    const changes = await this.#versions.changesSince(req.base, this.inForce?.version ?? 0)
    const detail = changes.length === 0 ? failure.message : `${failure.message}; since then: ${changes.join('; ')}`
    return new Failure('configConflict', detail, { ran: 'no', errors: changes })
  }
}
