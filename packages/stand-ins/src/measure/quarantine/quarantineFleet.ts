/**
 * Simulates a fleet whose targets end, in virtual time: which requests are quarantined, how many targets one request ends, and
 * which harmless requests are refused. The decisions are the product's; calls, targets and the propagation of updates are fakes.
 */
import seedrandom from 'seedrandom'
import { TargetBalancer } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { QuarantineUpdate, TargetEnd } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import { RequestQuarantine } from '@rosemaryspread/decisions/quarantine/requestQuarantine.js'
import { AnsweredRequests } from 'rosemaryspread/quarantine/answeredRequests.js'
import { VirtualTime } from '../../time/virtualTime.js'

const SERVICE_NAME = 's'
const DOMAIN_COUNT = 3
/** Delay until a VM detects a broken connection. */
const BREAK_DETECTION_MS = 1
/** Time for which the register still lists a target that ended. */
const LISTED_MS = 3_000
/** Bounds of one call: attempts, and unreachable targets skipped. */
const MAX_ATTEMPTS = 2
const MAX_UNREACHABLE = 3
/** Retries by the caller of a harmless request that failed. */
const MAX_RETRIES = 6
const MAX_RETRY_DELAY_MS = 200
const MS_PER_SECOND = 1_000

/** Size and traffic of a fleet. */
export interface QuarantineFleetShape {
  readonly seed: string
  readonly vms: number
  readonly targets: number
  readonly requestsPerS: number
  /** Mean milliseconds of a run; a run is between a tenth and twice as long. */
  readonly runMs: number
  /** Time from the end of a target's process until a new process runs under the same id. */
  readonly restartMs: number
  /** Longest delay of an update to another VM. */
  readonly maxUpdateDelayMs: number
  /** Share of the harmless requests that are identical. */
  readonly identicalShare: number
}

/** Counts of a run. */
export interface QuarantineCounts {
  readonly asked: number
  /** Harmless requests that were refused as quarantined. */
  readonly refused: number
  /** Target processes that harmful requests ended. */
  readonly ends: number
  /** Harmful requests that reached a target more than three seconds after the third end. */
  readonly late: number
}

interface Target {
  view: TargetView
  isUp: boolean
  listedUntil: number
  /** Callbacks of the open runs, called when the connection breaks. */
  readonly runs: Set<() => void>
}

interface Vm {
  readonly quarantine: RequestQuarantine
  readonly answers: AnsweredRequests
  readonly balancer: TargetBalancer
  /** Functions that abort the open runs, by request digest. */
  readonly open: Map<string, Set<() => void>>
}

interface Call {
  readonly vm: Vm
  readonly digest: string
  readonly isHarmful: boolean
  readonly exclude: Set<string>
  attempts: number
  unreachableCount: number
  /** Retries after the call failed. */
  readonly retry: () => void
}

/** Simulated fleet. */
export class QuarantineFleet {
  readonly time = new VirtualTime()
  readonly targets: readonly Target[]
  private readonly random: () => number
  private readonly vms: readonly Vm[]
  private readonly harmfulEnds: number[] = []
  private readonly harmfulSends: number[] = []
  private readonly refusedDigests = new Set<string>()
  private asked = 0

  constructor (private readonly shape: QuarantineFleetShape) {
    this.random = seedrandom(shape.seed)
    this.vms = Array.from({ length: shape.vms }, () => ({ quarantine: new RequestQuarantine(), answers: new AnsweredRequests(), balancer: new TargetBalancer(), open: new Map<string, Set<() => void>>() }))
    this.targets = Array.from({ length: shape.targets }, (_, index) => ({
      view: { id: `t${index}`, service: SERVICE_NAME, address: `t${index}`, domain: `d${index % DOMAIN_COUNT}`, slots: 64, isLeaving: false, startedAt: 0 },
      isUp: true,
      listedUntil: Infinity,
      runs: new Set<() => void>()
    }))
  }

  get counts (): QuarantineCounts {
    const third = this.harmfulEnds[2] ?? Infinity
    return { asked: this.asked, refused: this.refusedDigests.size, ends: this.harmfulEnds.length, late: this.harmfulSends.filter(at => at > third + 3 * MS_PER_SECOND).length }
  }

  /** Schedules harmless requests for this many milliseconds. */
  sendHarmless (ms: number): void {
    const { requestsPerS, identicalShare } = this.shape
    for (let at = 0; at < ms; at += MS_PER_SECOND / requestsPerS) {
      const digest = this.random() < identicalShare ? 'the same' : `harmless ${this.time.mono + at}`
      this.time.after(at, () => {
        this.asked += 1
        this.submit(digest, false, MAX_RETRIES)
      })
    }
  }

  /**
   * Sends a request that ends the targets that run it.
   * @param copies - how many VMs receive it at once
   */
  sendHarmful (copies: number): void {
    for (let copy = 0; copy < copies; copy += 1) this.submit('harmful', true, 1)
  }

  /** Ends the process of a target; a new process replaces it after `restartMs`. */
  end (target: Target): void {
    if (!target.isUp) return
    target.isUp = false
    target.listedUntil = this.time.mono + LISTED_MS
    for (const onBreak of target.runs) this.time.after(BREAK_DETECTION_MS, onBreak)
    target.runs.clear()
    this.time.after(this.shape.restartMs, () => {
      target.isUp = true
      target.listedUntil = Infinity
      target.view = { ...target.view, startedAt: this.time.mono }
      for (const { balancer } of this.vms) balancer.resetTarget(target.view.id)
    })
  }

  private submit (digest: string, isHarmful: boolean, retries: number): void {
    const vm = this.vms[Math.floor(this.random() * this.vms.length)] as Vm
    const retry = (): void => { if (retries > 0) this.time.after(MAX_RETRY_DELAY_MS * this.random(), () => { this.submit(digest, isHarmful, retries - 1) }) }
    this.send({ vm, digest, isHarmful, exclude: new Set(), attempts: 0, unreachableCount: 0, retry })
  }

  private send (call: Call): void {
    const { vm, digest, isHarmful, exclude } = call
    const { mono } = this.time
    const standing = vm.quarantine.standing(digest, mono)
    if (standing === 'quarantined') {
      if (!isHarmful) this.refusedDigests.add(digest)
      return
    }
    const listed = this.targets.filter(({ listedUntil }) => listedUntil > mono).map(({ view }) => view)
    const suspicion = standing === 'suspected' ? { suspicion: { digest, domains: vm.quarantine.domainsOf(digest) } } : {}
    const chosen = vm.balancer.choose(listed, { sharedParts: [], sharedTokens: 0, unsharedTokens: 100, exclude, ...suspicion }, mono, this.random())
    chosen.ifLeft(() => { call.retry() }).ifRight(choice => {
      const target = this.targets.find(({ view }) => view.id === choice.target.id) as Target
      const ticket = vm.balancer.sent(choice, [], mono).ticket
      const recordVerdict = (verdict: 'good' | 'unreachable'): void => {
        vm.balancer.endPrefill(choice.target.id, ticket, verdict === 'good', this.time.mono)
        vm.balancer.ended(choice.target.id, verdict, this.time.mono)
      }
      if (target.isUp) this.run(call, target, recordVerdict)
      else this.skipUnreachable(call, target, recordVerdict)
    })
  }

  private skipUnreachable (call: Call, target: Target, recordVerdict: (verdict: 'unreachable') => void): void {
    recordVerdict('unreachable')
    call.exclude.add(target.view.id)
    call.unreachableCount += 1
    if (call.unreachableCount <= MAX_UNREACHABLE) this.send(call)
    else call.retry()
  }

  private run (call: Call, target: Target, recordVerdict: (verdict: 'good' | 'unreachable') => void): void {
    const { vm, digest, isHarmful, exclude } = call
    const process = target.view
    if (isHarmful) this.harmfulSends.push(this.time.mono)
    const onBreak = (): void => {
      recordVerdict('unreachable')
      exclude.add(process.id)
      call.attempts += 1
      this.reportEnd(vm, digest, { target: process.id, domain: process.domain, at: this.time.mono, startedAt: process.startedAt ?? 0 })
      if (call.attempts < MAX_ATTEMPTS) this.send(call)
      else call.retry()
    }
    target.runs.add(onBreak)
    const abort = (): void => { if (target.runs.delete(onBreak)) recordVerdict('unreachable') }
    const open = vm.open.get(digest) ?? new Set()
    vm.open.set(digest, open.add(abort))
    this.time.after(this.shape.runMs * (0.1 + 1.9 * this.random()), () => {
      open.delete(abort)
      if (open.size === 0) vm.open.delete(digest)
      if (!target.runs.has(onBreak)) return
      if (isHarmful) {
        this.harmfulEnds.push(this.time.mono)
        this.end(target)
        return
      }
      target.runs.delete(onBreak)
      recordVerdict('good')
      this.answered(vm, digest)
    })
  }

  private answered (vm: Vm, digest: string): void {
    vm.answers.add(digest, this.time.mono)
    const clearance = vm.quarantine.answered(digest, this.time.mono)
    if (clearance !== undefined) this.broadcast(vm, clearance)
  }

  private reportEnd (vm: Vm, digest: string, end: TargetEnd): void {
    if (vm.answers.has(digest, this.time.mono)) return
    const update: QuarantineUpdate = { kind: 'ended', ends: [end], digests: [digest] }
    this.applyUpdate(vm, update)
    this.broadcast(vm, update)
  }

  private applyUpdate (vm: Vm, update: QuarantineUpdate): void {
    for (const { digest } of vm.quarantine.apply(update, this.time.mono)) for (const abort of vm.open.get(digest) ?? []) abort()
  }

  private broadcast (from: Vm, update: QuarantineUpdate): void {
    for (const vm of this.vms) {
      if (vm !== from) this.time.after(this.shape.maxUpdateDelayMs * this.random(), () => { this.applyUpdate(vm, update) })
    }
  }
}
