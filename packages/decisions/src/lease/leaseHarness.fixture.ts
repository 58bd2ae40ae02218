/**
 * Simulates several lease managers of one role on one table, in virtual time. Clock drift, slow or
 * lost calls and process pauses follow from numbers that the test supplies.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { LeaseManager } from './leaseManager.js'
import { FENCE_TABLE, LEASE_TABLE, type FenceRow, type LeaseAction, type LeaseEvent, type LeaseRow, type LeaseRowCheck, type LeaseWriteOutcome, type ReadLease } from './leaseTypes.js'

const STEP_MS = 50
/** Random values from here on are used as delays in milliseconds; smaller ones are divided by ten. */
const MIN_SLOW_DELAY_MS = 800

interface StoredRow {
  readonly value: LeaseRow | FenceRow
  readonly version: number
  readonly updatedAt: number
}

interface PendingEvent {
  readonly at: number
  readonly run: () => void
}

/** A fault of one node. */
export interface LeaseFault {
  readonly atMs: number
  readonly node: number
  /** `cut` disconnects the node from the table; `wallBack` affects only nodes whose wall clock is the faulty one. */
  readonly kind: 'pause' | 'cut' | 'wallBack'
  readonly forMs: number
}

/** One simulated process. */
export class LeaseNode {
  paused = false
  cut = false
  monoRuns = true
  wallRuns = true
  mono = 0
  wall = 1_000_000
  rate = 1
  /** The clock that stops during pauses; if it is the wall clock, it may also be set back. */
  faulty: 'mono' | 'wall' | undefined
  readonly actions: LeaseAction[] = []
  /** Responses delivered at the next step, or after a pause. */
  readonly inbox: LeaseEvent[] = []

  constructor (readonly name: string, readonly manager: LeaseManager, private readonly harness: LeaseHarness) {}

  now (): Instant {
    return { mono: this.mono, wall: this.wall }
  }

  mayAct (): boolean {
    return this.manager.mayAct(this.now())
  }

  count (kind: LeaseAction['kind']): number {
    return this.actions.filter(action => action.kind === kind).length
  }

  feed (event: LeaseEvent): void {
    const actions = this.manager.handle(event, this.now())
    this.actions.push(...actions)
    for (const action of actions) this.harness.execute(this, action)
  }

  step (): void {
    if (!this.paused || this.monoRuns) this.mono += STEP_MS * this.rate
    if (!this.paused || this.wallRuns) this.wall += STEP_MS * this.rate
    if (this.paused) return
    for (const event of this.inbox.splice(0)) this.feed(event)
    this.feed({ kind: 'tick' })
  }
}

export class LeaseHarness {
  readonly nodes: LeaseNode[]
  down = false
  /** Number of write responses to drop after the write took effect. */
  loseAnswers = 0
  maxActing = 0
  private time = 0
  private tableClock = 5_000_000
  private tableRate = 1
  private nextVersion = 0
  private readonly rows = new Map<string, StoredRow>()
  private pending: PendingEvent[] = []
  private randomValues: readonly number[] = []
  private randomIndex = 0

  constructor (count: number, makeManager: (name: string) => LeaseManager) {
    this.nodes = Array.from({ length: count }, (_, i) => new LeaseNode(`n${i}~1`, makeManager(`n${i}~1`), this))
    for (const node of this.nodes) node.feed({ kind: 'candidate', wanted: true })
  }

  /** Sets clock drift, and the random values, 0 to 999, that determine delays and losses. */
  setConditions (rates: readonly number[], faulty: readonly ('mono' | 'wall')[], tableRate: number, randomValues: readonly number[]): void {
    this.nodes.forEach((node, i) => { Object.assign(node, { rate: rates[i], faulty: faulty[i] }) })
    this.tableRate = tableRate
    this.randomValues = randomValues
  }

  acting (): readonly LeaseNode[] {
    return this.nodes.filter(node => !node.paused && node.mayAct())
  }

  holds (check: LeaseRowCheck): boolean {
    return (this.rows.get(check.table)?.version ?? null) === check.version
  }

  run (ms: number): void {
    for (const end = this.time + ms; this.time < end;) this.step()
  }

  runWithFaults (faults: readonly LeaseFault[], totalMs: number): void {
    const events = faults.flatMap(({ atMs, node, kind, forMs }) => [
      { at: atMs, run: () => this.startFault(this.nodes[node]!, kind, forMs) },
      { at: atMs + forMs, run: () => Object.assign(this.nodes[node]!, { paused: false, cut: false, monoRuns: true, wallRuns: true }) }
    ])
    this.pending.push(...events)
    this.run(totalMs)
  }

  execute (node: LeaseNode, action: LeaseAction): void {
    if (action.kind !== 'read' && action.kind !== 'write') return
    const lostAnswer: LeaseEvent = action.kind === 'read' ? { kind: 'readFailed' } : { kind: 'writeAnswered', outcome: { kind: 'unknown' } }
    const outcome = this.draw()
    if (outcome >= 950 || node.cut) return this.later(2_000, () => node.inbox.push(lostAnswer))
    this.later(this.delay(), () => {
      const answer = this.serve(action)
      const isLost = (outcome >= 900 || node.cut || this.consumeLoss(answer)) && !this.down
      this.later(isLost ? 2_000 : this.delay(), () => node.inbox.push(isLost ? lostAnswer : answer))
    })
  }

  private startFault (node: LeaseNode, kind: LeaseFault['kind'], ms: number): void {
    if (kind === 'cut') node.cut = true
    else if (kind === 'pause') Object.assign(node, { paused: true, monoRuns: node.faulty !== 'mono', wallRuns: node.faulty !== 'wall' })
    else if (node.faulty === 'wall') node.wall -= ms
  }

  private step (): void {
    this.time += STEP_MS
    this.tableClock += STEP_MS * this.tableRate
    const due = this.pending.filter(({ at }) => at <= this.time)
    this.pending = this.pending.filter(({ at }) => at > this.time)
    for (const { run } of due) run()
    for (const node of this.nodes) {
      node.step()
      this.maxActing = Math.max(this.maxActing, this.acting().length)
    }
  }

  private serve (action: Extract<LeaseAction, { kind: 'read' | 'write' }>): LeaseEvent {
    if (action.kind === 'read') return this.down ? { kind: 'readFailed' } : { kind: 'readAnswered', read: this.read() }
    return { kind: 'writeAnswered', outcome: this.down ? { kind: 'unavailable' } : this.write(action) }
  }

  private read (): ReadLease {
    const lease = this.rows.get(LEASE_TABLE)
    const fence = this.rows.get(FENCE_TABLE)
    return {
      lease: lease === undefined ? null : { row: lease.value as LeaseRow, version: lease.version, ageMs: this.tableClock - lease.updatedAt },
      fence: fence === undefined ? null : { row: fence.value as FenceRow, version: fence.version }
    }
  }

  private write ({ checks, writes }: Extract<LeaseAction, { kind: 'write' }>): LeaseWriteOutcome {
    if (!checks.every(check => this.holds(check))) return { kind: 'conflict' }
    this.nextVersion += 1
    for (const { table, value } of writes) this.rows.set(table, { value, version: this.nextVersion, updatedAt: this.tableClock })
    return { kind: 'written', version: this.nextVersion }
  }

  private consumeLoss (answer: LeaseEvent): boolean {
    if (this.loseAnswers === 0 || answer.kind !== 'writeAnswered' || answer.outcome.kind !== 'written') return false
    this.loseAnswers -= 1
    return true
  }

  private delay (): number {
    if (this.randomValues.length === 0) return STEP_MS
    const value = this.draw()
    return value < MIN_SLOW_DELAY_MS ? value / 10 : value
  }

  private later (ms: number, run: () => void): void {
    this.pending.push({ at: this.time + ms, run })
  }

  private draw (): number {
    if (this.randomValues.length === 0) return 0
    this.randomIndex += 1
    return this.randomValues[this.randomIndex % this.randomValues.length]!
  }
}
