/**
 * Decides which configuration version is in force on a VM. Inputs may be late or out of order (a stale read, a
 * repeated push, an older snapshot, a fetch that began before a pause); the version in force only increases, and
 * only to versions whose digest was verified.
 */
import type { Either } from 'purify-ts'
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'
import { verifyDocument, replayRows, type VerifiedConfig } from './configPatch.js'
import type { VersionRef, VersionRow, FullConfig } from './configRows.js'

/** Where a version was advertised or delivered from. */
export type ConfigSource = 'table' | 'peer' | 'snapshot' | 'patch'

/** Delivered versions: consecutive rows, or a full version with the rows after it. */
export interface ConfigCandidate {
  readonly whole?: FullConfig
  readonly rows: readonly VersionRow[]
}

/** Inputs of the decider. */
export type ConfigEvent =
  /** A source advertises its newest version. */
  | { readonly kind: 'advertised', readonly source: ConfigSource, readonly ref: VersionRef }
  | { readonly kind: 'delivered', readonly source: ConfigSource, readonly candidate: ConfigCandidate }
  /** A version that this process verified itself. */
  | { readonly kind: 'accepted', readonly source: ConfigSource, readonly held: VerifiedConfig }

/** Actions for the caller to carry out. */
export type ConfigAction =
  /** Fetch all versions after `after`, up to `target`. */
  | { readonly kind: 'fetch', readonly after: number, readonly target: VersionRef }
  /** The version is now in force: notify listeners. */
  | { readonly kind: 'apply', readonly source: ConfigSource, readonly held: VerifiedConfig }
  /** The source delivered data that does not verify, or advertised a different digest for the version in force. */
  | { readonly kind: 'reject', readonly source: ConfigSource, readonly version: number, readonly detail: string }

/** Progress of this VM towards the newest version. */
export interface ConfigStatus {
  /** The version in force; undefined before the first. */
  readonly version: number | undefined
  /** The highest version advertised. */
  readonly advertised: number | undefined
  /** Since when the version in force is behind an advertised one. */
  readonly behindSince: Instant | undefined
}

/** Decides which version is in force. */
export interface ConfigDecider {
  decide (event: ConfigEvent, now: Instant): readonly ConfigAction[]
  readonly inForce: VerifiedConfig | undefined
  readonly status: ConfigStatus
}

/** Lets the version in force only increase. */
export class MonotonicConfigDecider implements ConfigDecider {
  #inForce: VerifiedConfig | undefined
  #advertised: VersionRef | undefined
  #behindSince: Instant | undefined
  readonly #initial: VerifiedConfig

  /**
   * @param initial - version 0, the base for rows while no version is in force
   */
  constructor (initial: VerifiedConfig) {
    this.#initial = initial
  }

  get inForce (): VerifiedConfig | undefined {
    return this.#inForce
  }

  get status (): ConfigStatus {
    return { version: this.#inForce?.version, advertised: this.#advertised?.version, behindSince: this.#behindSince }
  }

  decide (event: ConfigEvent, now: Instant): readonly ConfigAction[] {
    switch (event.kind) {
      case 'advertised': return this.#onAdvertised(event.source, event.ref, now)
      case 'delivered': return this.#verify(event.source, event.candidate)
      case 'accepted': return this.#apply(event.source, event.held)
    }
  }

  #onAdvertised (source: ConfigSource, ref: VersionRef, now: Instant): readonly ConfigAction[] {
    const current = this.#inForce
    if (current !== undefined && ref.version === current.version && ref.digest !== current.digest) {
      return [{ kind: 'reject', source, version: ref.version, detail: 'different digest for the version in force' }]
    }
    if (current !== undefined && ref.version <= current.version) return []
    if (ref.version > (this.#advertised?.version ?? -1)) this.#advertised = ref
    this.#behindSince ??= now
    return [{ kind: 'fetch', after: current?.version ?? 0, target: ref }]
  }

  #verify (source: ConfigSource, candidate: ConfigCandidate): readonly ConfigAction[] {
    const version = candidate.rows.at(-1)?.version ?? candidate.whole?.version ?? 0
    if (!this.#isHigher(version)) return []
    return this.#build(candidate).caseOf<readonly ConfigAction[]>({
      Left: failure => [{ kind: 'reject', source, version, detail: failure.message }],
      Right: held => this.#apply(source, held)
    })
  }

  /** Replays onto the version in force where the rows reach it, so that a late delivery costs only its new rows. */
  #build (candidate: ConfigCandidate): Either<Failure, VerifiedConfig> {
    const base = this.#inForce ?? this.#initial
    const first = candidate.rows[0]
    const reachesBase = first !== undefined && first.version <= base.version + 1
    if (candidate.whole === undefined || reachesBase) {
      return replayRows(base, candidate.rows.filter(row => row.version > base.version))
    }
    return verifyDocument(candidate.whole).chain(whole => replayRows(whole, candidate.rows))
  }

  #apply (source: ConfigSource, held: VerifiedConfig): readonly ConfigAction[] {
    if (!this.#isHigher(held.version)) return []
    this.#inForce = held
    if ((this.#advertised?.version ?? -1) <= held.version) this.#behindSince = undefined
    return [{ kind: 'apply', source, held }]
  }

  #isHigher (version: number): boolean {
    return this.#inForce === undefined || version > this.#inForce.version
  }
}
