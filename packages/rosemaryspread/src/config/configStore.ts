/**
 * The configuration on this VM: version in force, patches, older versions and history, based on the table service
 * and the object store. {@link MonotonicConfigDecider} decides which version is in force; this class carries out
 * its actions.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { ConfigHolder, type ConfigAction, type ConfigCandidate, type ConfigDecider, type ConfigEvent, type ConfigSource, type ConfigStatus } from '@rosemaryspread/decisions/config/configDecider.js'
import { firstConfig, type HeldConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import type { VersionMark } from '@rosemaryspread/decisions/config/configRows.js'
import type { ConfigAnswer, HistoryEntry, PatchAnswer, PatchRequest } from '@rosemaryspread/operators/admin/adminTypes.js'
import { ConfigFetcher } from './configFetcher.js'
import { ConfigPatcher, type AcceptedPatch } from './configPatcher.js'
import { ConfirmedTable, ConfigReader } from './configReader.js'
import { ConfigSnapshots } from './configSnapshots.js'
import { pauseOn, type ConfigListener, type ConfigStoreParts } from './configTypes.js'
import { ConfigVersions } from './configVersions.js'
import { RecentRows } from './recentRows.js'

/** Maximum number of versions that one call of `history` returns. */
const MAX_HISTORY = 1_000

export class ConfigStore {
  readonly #parts: ConfigStoreParts
  readonly #confirmed: ConfirmedTable
  readonly #reader: ConfigReader
  readonly #versions: ConfigVersions
  readonly #holder: ConfigDecider
  readonly #fetcher: ConfigFetcher
  readonly #recent = new RecentRows()
  readonly #listeners: ConfigListener[] = []
  readonly snapshots: ConfigSnapshots

  /**
   * @param decider - replaced in tests only
   */
  constructor (parts: ConfigStoreParts, holder?: ConfigDecider) {
    const origin = firstConfig()
    this.#parts = parts
    this.#confirmed = new ConfirmedTable(parts.table, async ms => { await pauseOn(parts.timers, ms) })
    this.#reader = new ConfigReader(parts.table, origin)
    this.snapshots = new ConfigSnapshots(parts.objects)
    this.#versions = new ConfigVersions(this.#reader, this.snapshots, origin)
    this.#holder = holder ?? new ConfigHolder(origin)
    this.#fetcher = new ConfigFetcher(this.#versions, this.snapshots, parts.log, {
      version: () => this.inForce?.version,
      deliver: (source, candidate) => this.deliver(source, candidate)
    })
  }

  /** The version in force; undefined before the first. */
  get inForce (): HeldConfig | undefined {
    return this.#holder.inForce
  }

  get status (): ConfigStatus {
    return this.#holder.status
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
  async load (): Promise<Either<Failure, HeldConfig>> {
    const outcome = await this.refresh()
    outcome.ifLeft(({ code }) => this.#parts.log.write('configUnreachable', { version: undefined, code }))
    if (this.inForce === undefined) await this.#fetcher.loadSnapshot()
    const held = this.inForce
    if (held !== undefined) return Right(held)
    return Left(new Failure('configNotLoaded', outcome.swap().map(failure => failure.message).orDefault('no version could be verified')))
  }

  /**
   * Reads the current version from the table and applies it when it is higher. The first version of a process
   * comes from a confirmed read, so that a lagging replica cannot take this VM below what an earlier process
   * of it had in force.
   * @returns the failure of the read; the version in force stays
   */
  async refresh (): Promise<Either<Failure, VersionMark>> {
    const held = this.inForce
    const found = held === undefined
      ? (await this.#reader.current(this.#confirmed)).map(mark => ({ mark, rows: [] }))
      : await this.#reader.poll(held.version)
    if (found.isLeft()) return found
    const { mark, rows } = found.unsafeCoerce()
    if (rows.length > 0) this.deliver('table', { rows })
    await this.hear('table', mark)
    return Right(mark)
  }

  /** Handles the newest version that a source advertises; fetches it when it is higher. */
  async hear (source: ConfigSource, mark: VersionMark): Promise<void> {
    for (const action of this.#decide({ kind: 'heard', source, mark })) {
      if (action.kind === 'fetch') await this.#fetcher.fetch(action.target)
    }
  }

  /** Handles delivered versions; they come into force if they verify and are higher. */
  deliver (source: ConfigSource, candidate: ConfigCandidate): void {
    this.#decide({ kind: 'delivered', source, candidate })
    if (this.inForce?.version === candidate.rows.at(-1)?.version) this.#recent.add(candidate.rows)
  }

  /**
   * The versions that a peer lacks.
   * @param after - the peer's version; undefined when it has none
   * @returns rows or a full version; undefined when the peer is not behind
   */
  candidateAfter (after: number | undefined): ConfigCandidate | undefined {
    const held = this.inForce
    if (held === undefined || (after !== undefined && after >= held.version)) return undefined
    const rows = this.#recent.between(after ?? 0, held.version)
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
    const patcher = new ConfigPatcher(this.#confirmed, this.#reader, this.#parts, () => this.inForce, req)
    const outcome = req.dryRun ? await patcher.check() : await patcher.accept()
    if (outcome.isLeft()) return Left(await this.#refused(req, outcome.extract() as Failure))
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
      return Left(new Failure('configNotLoaded', 'no configuration is in force on this VM yet'))
    }
    return (await this.#versions.at(version)).map(found => ({ version, config: found.config }))
  }

  /**
   * The newest accepted versions, newest first.
   * @param limit - maximum number of versions
   */
  async history (limit: number): Promise<Either<Failure, readonly HistoryEntry[]>> {
    const current = await this.#reader.current(this.#confirmed)
    if (current.isLeft()) return current
    const newest = current.unsafeCoerce().version
    const rows = await this.#reader.rows(Math.max(newest - Math.min(limit, MAX_HISTORY), 0), newest)
    return rows.map(all => all.reverse().map(({ version, patchId, author, at, patch }) => ({ version, patchId, author, at, patch })))
  }

  #decide (event: ConfigEvent): readonly ConfigAction[] {
    const actions = this.#holder.decide(event, this.#parts.clock.now())
    for (const action of actions) {
      if (action.kind === 'apply') this.#apply(action.source, action.held)
      if (action.kind === 'reject') this.#logUnverified(action)
    }
    return actions
  }

  #apply (source: ConfigSource, held: HeldConfig): void {
    this.#parts.log.write('configApplied', { version: held.version, source })
    for (const listener of this.#listeners) {
      try {
        listener(held, source)
      } catch (err) {
        this.#parts.log.write('fault', { err: toFailure(err).message })
      }
    }
  }

  #logUnverified ({ source, version, detail }: Extract<ConfigAction, { kind: 'reject' }>): void {
    this.#parts.log.write('configUnverified', { source, version, detail })
  }

  #applyAccepted (req: PatchRequest, { version, repeated, made }: AcceptedPatch): void {
    if (!repeated) this.#parts.log.write('configAccepted', { version, patchId: req.patchId, author: req.author })
    if (made === undefined) return
    this.#decide({ kind: 'accepted', source: 'patch', held: made.held })
    this.#recent.add([made.row])
    this.#keep(made).catch(err => this.#parts.log.write('fault', { err: toFailure(err).message }))
  }

  async #keep ({ row, held }: NonNullable<AcceptedPatch['made']>): Promise<void> {
    const kept = await this.snapshots.keep(row, held)
    kept.ifLeft(failure => this.#parts.log.write('platformFault', { service: 'objects', operation: 'configSnapshot', code: failure.code }))
  }

  async #refused (req: PatchRequest, failure: Failure): Promise<Failure> {
    this.#parts.log.write('configRefused', { base: req.base, patchId: req.patchId, code: failure.code })
    if (failure.code !== 'configConflict') return failure
    await this.refresh()
    const changes = await this.#versions.changesSince(req.base, this.inForce?.version ?? 0)
    const detail = changes.length === 0 ? failure.message : `${failure.message}; since then: ${changes.join('; ')}`
    return new Failure('configConflict', detail, { errors: changes })
  }
}
