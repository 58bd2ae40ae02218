/**
 * A recorded history, sorted by time, with lookups by kind and request id.
 */
import type { HistoryRecord, RecordOf } from './historyTypes.js'

/** Order of records with equal timestamps: causes before effects; `settled` comes last. */
const CAUSAL_ORDER: readonly HistoryRecord['kind'][] = ['paid', 'configAccepted', 'vmUp', 'asked', 'claimed', 'ran', 'ended']

function causalRank (record: HistoryRecord): number {
  const index = CAUSAL_ORDER.indexOf(record.kind)
  if (index >= 0) return index
  return record.kind === 'settled' ? CAUSAL_ORDER.length + 1 : CAUSAL_ORDER.length
}

/** Outcome of one request attempt; an attempt without one is still open, or its caller was terminated. */
export type Outcome = RecordOf<'answered'> | RecordOf<'refused'> | RecordOf<'lost'>

export class History {
  readonly records: readonly HistoryRecord[]

  /** @param records - records in any order */
  constructor (records: readonly HistoryRecord[]) {
    this.records = [...records].sort((a, b) => a.at - b.at || causalRank(a) - causalRank(b))
  }

  /** All records of one kind, by time. */
  of<Kind extends HistoryRecord['kind']> (kind: Kind): readonly RecordOf<Kind>[] {
    return this.records.filter((record): record is RecordOf<Kind> => record.kind === kind)
  }

  /** Records of one kind, by request id. */
  byRequest<Kind extends 'asked' | 'ran' | 'ended' | 'billed'> (kind: Kind): ReadonlyMap<string, readonly RecordOf<Kind>[]> {
    return groupBy(this.of(kind), record => (record as { readonly requestId: string }).requestId)
  }

  /** Outcomes by the `ask` id of their attempt. */
  outcomesByAttempt (): ReadonlyMap<string, readonly Outcome[]> {
    const all = this.records.filter((record): record is Outcome => ['answered', 'refused', 'lost'].includes(record.kind))
    return groupBy(all, record => record.ask)
  }

  /** Wall-clock milliseconds of the last record; 0 when there is none. */
  get lastAt (): number {
    return this.records.at(-1)?.at ?? 0
  }

  /** Wall-clock milliseconds at which the system became idle, if recorded. */
  get settledAt (): number | undefined {
    return this.of('settled').at(-1)?.at
  }
}

/** Groups values by a key; order is preserved. */
export function groupBy<Value> (values: readonly Value[], keyOf: (value: Value) => string): Map<string, Value[]> {
  const groups = new Map<string, Value[]>()
  for (const value of values) {
    const key = keyOf(value)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [value])
    else group.push(value)
  }
  return groups
}
