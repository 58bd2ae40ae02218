/**
 * Finds parts of prompts that terminate the targets that run them, whatever else the requests hold. Each request that was open at a terminated target
 * brings its parts under suspicion, most of them harmless. The parts blamed are those that explain the ends best: the part with the most ends since a
 * target last answered it takes all of them, and what it leaves unexplained counts for the others.
 */
import { processKey, type EndReport, type QuarantineUpdate, type SuspectView, type Verdict } from './quarantineTypes.js'
import { RequestQuarantine } from './requestQuarantine.js'

/** Ends of a part that quarantine it. */
const THRESHOLD = 4
/** Ends that quarantine a part that may have been there by chance: targets answered it before, or most ends have another cause. */
const CHANCE_THRESHOLD = 6
/** Ends within this time count as one: targets that end together do so for another reason. */
const SAME_MOMENT_MS = 50
/** Different requests with the part that were open at those ends; one request may be the cause by itself. */
const MIN_REQUESTS = 3
/** Time without an answer after which a part that targets answered before may be the cause. */
const MIN_UNANSWERED_MS = 1_500
/** Time after the first report of an end in which other VMs report theirs. */
const SETTLE_MS = 250
/** Time after the last end of a part for which its requests are stored. */
const EVIDENCE_MS = 600_000
/** Requests stored for a part; more than enough to tell one request from several. */
const MAX_REQUESTS = 50

interface PartEvidence {
  readonly digest: string
  /** Wall time of each end that counts, by process key. */
  readonly ends: ReadonlyMap<string, number>
  readonly wasAnswered: boolean
}

interface CountedPart extends PartEvidence {
  /** Number of its ends that no other part explains; ends at the same moment count as one. */
  readonly left: number
  readonly threshold: number
}

/** Parts of prompts under suspicion, as one VM sees them. Times are monotonic milliseconds. */
export class PromptPartQuarantine {
  private readonly parts = new RequestQuarantine(false)
  /** Digests of the requests that were open with a part when targets terminated. */
  private readonly requests = new Map<string, Set<string>>()
  /** Time of the first report of each end, by process key. */
  private readonly reportedAt = new Map<string, number>()
  /** Digests of quarantined parts. */
  private readonly quarantined = new Set<string>()
  private hasNews = false

  /** @param answeredAt - when a target last answered a request with a part; undefined if none did recently */
  constructor (private readonly answeredAt: (digest: string) => number | undefined) {}

  get isEmpty (): boolean {
    return this.parts.isEmpty
  }

  /** Whether requests with a part are refused. */
  isQuarantined (digest: string, mono: number): boolean {
    return this.parts.standing(digest, mono) === 'quarantined'
  }

  /** Whether a part has ends and was not answered. */
  isSuspected (digest: string, mono: number): boolean {
    return this.parts.standing(digest, mono) === 'suspected' && this.answeredAt(digest) === undefined
  }

  /** Failure domains of the targets whose termination counts against a part. */
  domainsOf (digest: string): readonly string[] {
    return this.parts.domainsOf(digest)
  }

  /** Applies an update from this VM or another; returns the verdicts that it brings. */
  apply (update: QuarantineUpdate, mono: number): readonly Verdict[] {
    if (update.kind === 'ended') {
      this.applyEnds(update, mono)
      return []
    }
    const verdicts = this.parts.apply(update, mono)
    if (this.isQuarantined(update.digest, mono)) this.quarantined.add(update.digest)
    return verdicts
  }

  /** Clears a part that a target answered; see {@link RequestQuarantine.answered}. */
  answered (digest: string, mono: number): ReturnType<RequestQuarantine['answered']> {
    return this.parts.answered(digest, mono)
  }

  /** Clears a part on behalf of an operator; undefined when it is not under suspicion. */
  lift (digest: string, mono: number): ReturnType<RequestQuarantine['lift']> {
    return this.parts.lift(digest, mono)
  }

  /** All parts under suspicion, for operators. */
  list (mono: number): readonly SuspectView[] {
    return this.parts.list(mono)
  }

  /** Process keys of the ends that quarantined parts explain. */
  explained (mono: number): ReadonlySet<string> {
    for (const digest of this.quarantined) if (!this.isQuarantined(digest, mono)) this.quarantined.delete(digest)
    return new Set([...this.quarantined].flatMap(digest => this.parts.endsOf(digest).map(processKey)))
  }

  /** Quarantines the parts that explain the ends reported so far, and drops old evidence; to be called several times a second. */
  tick (mono: number): readonly Verdict[] {
    this.parts.tick(mono)
    for (const [process, at] of this.reportedAt) if (mono - at > EVIDENCE_MS) this.reportedAt.delete(process)
    for (const digest of this.requests.keys()) if (!this.parts.has(digest)) this.requests.delete(digest)
    if (!this.hasNews) return []
    this.hasNews = [...this.reportedAt.values()].some(at => mono - at <= SETTLE_MS + MIN_UNANSWERED_MS)
    const verdicts = this.explain(mono).flatMap(digest => this.parts.quarantine(digest, mono))
    for (const { digest } of verdicts) this.quarantined.add(digest)
    return verdicts
  }

  /** Digests of the parts that explain the ends best, not counting what quarantined parts explain. */
  private explain (mono: number): readonly string[] {
    const evidence = this.evidence(mono)
    const explained = new Set(this.explained(mono))
    const found: string[] = []
    for (;;) {
      const counted = evidence.map(part => this.count(part, explained))
      const best = counted.reduce<CountedPart | undefined>((most, next) => most === undefined || isBetter(next, most) ? next : most, undefined)
      if (best === undefined || best.left < best.threshold || isAmbiguous(best, counted)) return found
      found.push(best.digest)
      for (const process of best.ends.keys()) explained.add(process)
    }
  }

  private count (part: PartEvidence, explained: ReadonlySet<string>): CountedPart {
    const left = [...part.ends].filter(([process]) => !explained.has(process))
    const since = Math.min(...left.map(([process]) => this.reportedAt.get(process) ?? Infinity))
    const all = [...this.reportedAt].filter(([process, at]) => at >= since && !explained.has(process)).length
    const isByChance = part.wasAnswered || 2 * left.length < all
    return { ...part, left: countMoments(left.map(([, at]) => at)), threshold: isByChance ? CHANCE_THRESHOLD : THRESHOLD }
  }

  private evidence (mono: number): readonly PartEvidence[] {
    return [...this.requests].flatMap(([digest, { size }]) => {
      if (size < MIN_REQUESTS || this.isQuarantined(digest, mono)) return []
      const answeredAt = this.answeredAt(digest)
      if (answeredAt !== undefined && mono - answeredAt < MIN_UNANSWERED_MS) return []
      const settled = this.parts.endsOf(digest).filter(end => mono - (this.reportedAt.get(processKey(end)) ?? -Infinity) >= SETTLE_MS)
      return { digest, ends: new Map(settled.map(end => [processKey(end), end.at])), wasAnswered: answeredAt !== undefined }
    })
  }

  private applyEnds (report: EndReport, mono: number): void {
    const { ends, digests, parts = [] } = report
    for (const end of ends) if (!this.reportedAt.has(processKey(end))) this.reportedAt.set(processKey(end), mono)
    this.parts.apply({ kind: 'ended', ends, digests: parts.map(([digest]) => digest) }, mono)
    for (const [digest, indices] of parts) {
      const requests = this.requests.get(digest) ?? new Set<string>()
      for (const index of indices) if (requests.size < MAX_REQUESTS && digests[index] !== undefined) requests.add(digests[index])
      this.requests.set(digest, requests)
    }
    this.hasNews ||= parts.length > 0
  }
}

function countMoments (times: readonly number[]): number {
  let latest = -Infinity
  return [...times].sort((a, b) => a - b).filter(at => {
    const isNew = at - latest >= SAME_MOMENT_MS
    if (isNew) latest = at
    return isNew
  }).length
}

/** Whether a part explains more ends than another; of equals the one that no target answered. */
function isBetter (part: CountedPart, other: CountedPart): boolean {
  return part.left === other.left ? part.threshold < other.threshold : part.left > other.left
}

/** Whether another part explains as much; with more ends, a part that is not the cause is unlikely to have been at all of them. */
function isAmbiguous (best: CountedPart, parts: readonly CountedPart[]): boolean {
  return best.left < CHANCE_THRESHOLD && parts.some(other => other !== best && other.left === best.left && other.threshold === best.threshold)
}
