/**
 * Decides which configuration version is in force on a VM. Inputs may be late or out of order (a stale read, a
 * repeated push, an older snapshot, a fetch that began before a pause); the version in force only increases, and
 * only to versions whose digest was verified.
 */
import type { Either } from 'purify-ts'
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'
import { holdDocument, replayRows, type HeldConfig } from './configPatch.js'
import type { VersionMark, VersionRow, WholeConfig } from './configRows.js'

/** Where a version was advertised or delivered from. */
export type ConfigSource = 'table' | 'peer' | 'snapshot' | 'patch'

/** Delivered versions: consecutive rows, or a full version with the rows after it. */
export interface ConfigCandidate {
  readonly whole?: WholeConfig
  readonly rows: readonly VersionRow[]
}

/** Inputs of the decider. */
export type ConfigEvent =
  /** A source advertises its newest version. */
  | { readonly kind: 'heard', readonly source: ConfigSource, readonly mark: VersionMark }
  | { readonly kind: 'delivered', readonly source: ConfigSource, readonly candidate: ConfigCandidate }
  /** A version that this process verified itself. */
  | { readonly kind: 'accepted', readonly source: ConfigSource, readonly held: HeldConfig }

/** Actions for the caller to carry out. */
export type ConfigAction =
  /** Fetch all versions after `after`, up to `target`. */
  | { readonly kind: 'fetch', readonly after: number, readonly target: VersionMark }
  /** The version is now in force: notify listeners. */
  | { readonly kind: 'apply', readonly source: ConfigSource, readonly held: HeldConfig }
  /** The source delivered data that does not verify, or advertised a different digest for the version in force. */
  | { readonly kind: 'reject', readonly source: ConfigSource, readonly version: number, readonly detail: string }

/** Progress of this VM towards the newest version. */
export interface ConfigStatus {
  /** The version in force; undefined before the first. */
  readonly version: number | undefined
  /** The highest version advertised. */
  readonly heard: number | undefined
  /** Since when the version in force is behind an advertised one. */
  readonly behindSince: Instant | undefined
}

/** Decides which version is in force. */
export interface ConfigDecider {
  decide (event: ConfigEvent, now: Instant): readonly ConfigAction[]
  readonly inForce: HeldConfig | undefined
  readonly status: ConfigStatus
}

/** Lets the version in force only increase. */
export class ConfigHolder implements ConfigDecider {
  #held: HeldConfig | undefined
  #heard: VersionMark | undefined
  #behindSince: Instant | undefined
  readonly #origin: HeldConfig

  /**
   * @param initial - version 0, the base for rows while no version is in force
   */
  constructor (origin: HeldConfig) {
    this.#origin = origin
  }

  get inForce (): HeldConfig | undefined {
    return this.#held
  }

  get status (): ConfigStatus {
    return { version: this.#held?.version, heard: this.#heard?.version, behindSince: this.#behindSince }
  }

  decide (event: ConfigEvent, now: Instant): readonly ConfigAction[] {
    switch (event.kind) {
      case 'heard': return this.#hear(event.source, event.mark, now)
      case 'delivered': return this.#verify(event.source, event.candidate)
      case 'accepted': return this.#raise(event.source, event.held)
    }
  }

  #hear (source: ConfigSource, mark: VersionMark, now: Instant): readonly ConfigAction[] {
    const held = this.#held
    if (held !== undefined && mark.version === held.version && mark.digest !== held.digest) {
      return [{ kind: 'reject', source, version: mark.version, detail: 'different digest for the version in force' }]
    }
    if (held !== undefined && mark.version <= held.version) return []
    if (mark.version > (this.#heard?.version ?? -1)) this.#heard = mark
    this.#behindSince ??= now
    return [{ kind: 'fetch', after: held?.version ?? 0, target: mark }]
  }

  #verify (source: ConfigSource, candidate: ConfigCandidate): readonly ConfigAction[] {
    const version = candidate.rows.at(-1)?.version ?? candidate.whole?.version ?? 0
    if (!this.#isHigher(version)) return []
    return this.#build(candidate).caseOf<readonly ConfigAction[]>({
      Left: failure => [{ kind: 'reject', source, version, detail: failure.message }],
      Right: held => this.#raise(source, held)
    })
  }

  /** Replays onto the version in force where the rows reach it, so that a late delivery costs only its new rows. */
  #build (candidate: ConfigCandidate): Either<Failure, HeldConfig> {
    const base = this.#held ?? this.#origin
    const first = candidate.rows[0]
    const reachesBase = first !== undefined && first.version <= base.version + 1
    if (candidate.whole === undefined || reachesBase) {
      return replayRows(base, candidate.rows.filter(row => row.version > base.version))
    }
    return holdDocument(candidate.whole).chain(whole => replayRows(whole, candidate.rows))
  }

  #raise (source: ConfigSource, held: HeldConfig): readonly ConfigAction[] {
    if (!this.#isHigher(held.version)) return []
    this.#held = held
    if ((this.#heard?.version ?? -1) <= held.version) this.#behindSince = undefined
    return [{ kind: 'apply', source, held }]
  }

  #isHigher (version: number): boolean {
    return this.#held === undefined || version > this.#held.version
  }
}
