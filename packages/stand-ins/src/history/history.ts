/**
 * A history prepared for judging: records sorted by time and grouped by kind and request id.
 */
import type { HistoryRecord, RecordOf } from './historyTypes.js'

/** At equal times, causes come before effects: payments and asks first, the end of the run last. */
const causesFirst: readonly HistoryRecord['kind'][] = ['paid', 'configAccepted', 'vmUp', 'asked', 'claimed', 'ran', 'ended']

function rank (record: HistoryRecord): number {
  const index = causesFirst.indexOf(record.kind)
  if (index >= 0) return index
  return record.kind === 'settled' ? causesFirst.length + 1 : causesFirst.length
}

/** What one ask came to; an ask without any outcome was still open, or its caller was ended. */
export type Outcome = RecordOf<'answered'> | RecordOf<'refused'> | RecordOf<'lost'>

/** A sorted history with lookups. */
export class History {
  readonly records: readonly HistoryRecord[]

  /** @param records - records in any order */
  constructor (records: readonly HistoryRecord[]) {
    this.records = [...records].sort((a, b) => a.at - b.at || rank(a) - rank(b))
  }

  /**
   * All records of one kind, by time.
   * @param kind - the kind
   */
  of<Kind extends HistoryRecord['kind']> (kind: Kind): readonly RecordOf<Kind>[] {
    return this.records.filter((record): record is RecordOf<Kind> => record.kind === kind)
  }

  /**
   * Records of one kind, by the id of their request.
   * @param kind - a kind that has request ids
   */
  byRequest<Kind extends 'asked' | 'ran' | 'ended' | 'billed'> (kind: Kind): ReadonlyMap<string, readonly RecordOf<Kind>[]> {
    return groupBy(this.of(kind), record => (record as { readonly requestId: string }).requestId)
  }

  /** Outcomes by ask. */
  outcomes (): ReadonlyMap<string, readonly Outcome[]> {
    const all = this.records.filter((record): record is Outcome => ['answered', 'refused', 'lost'].includes(record.kind))
    return groupBy(all, record => record.ask)
  }

  /** The time of the last record, in wall milliseconds. */
  get end (): number {
    return this.records.at(-1)?.at ?? 0
  }

  /** When the system came to rest, if the history says so. */
  get settledAt (): number | undefined {
    return this.of('settled').at(-1)?.at
  }
}

/**
 * Groups values by a key, in order.
 * @param values - the values
 * @param keyOf - the key of a value
 */
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
