/**
 * Simulates network partitions of a fleet: between VMs by their links, between VMs and the platform
 * or runners by the control ports of the stand-ins.
 */
import type { CutStep } from '../language/scenarioSchema.js'
import type { FakeLink, LinkState } from './fakeLink.js'
import type { StandInProcess } from './standInProcess.js'

/** Notified when a VM loses its connection to the table or regains it. */
export interface TableReachObserver {
  lost (vm: string): void
  regained (vm: string): void
}

export class Network {
  private readonly cutVms = new Map<string, Set<string>>()

  /**
   * @param links - link in front of each VM, by VM name
   * @param resolveName - expands the name of a failure domain to those of its VMs and runners
   */
  constructor (
    private readonly links: ReadonlyMap<string, FakeLink>,
    private readonly standIns: ReadonlyMap<string, StandInProcess>,
    private readonly resolveName: (name: string) => readonly string[],
    private readonly observer: TableReachObserver
  ) {}

  /** Cuts the connections between the two sides of a step. */
  async cut (step: CutStep): Promise<void> {
    const [left, right] = step.between.map(side => side.flatMap(this.resolveName)) as [string[], string[]]
    for (const a of left) for (const b of right) this.cutPair(a, b, step.hold ? 'held' : 'cut')
    await this.applyCuts()
  }

  /** Ends all cuts, then reports the VMs that can reach the table again. */
  async healAll (): Promise<void> {
    const cutFromTable = [...this.cutVms.get('table') ?? []]
    this.cutVms.clear()
    for (const link of this.links.values()) for (const vm of this.links.keys()) link.set(vm, 'open')
    await this.applyCuts()
    for (const vm of cutFromTable) this.observer.regained(vm)
  }

  isCutFromTable (vm: string): boolean {
    return this.cutVms.get('table')?.has(vm) === true
  }

  private cutPair (a: string, b: string, state: LinkState): void {
    this.links.get(a)?.set(b, state)
    this.links.get(b)?.set(a, state)
    this.cutStandIn(a, b)
    this.cutStandIn(b, a)
  }

  private cutStandIn (standIn: string, vm: string): void {
    if (!this.standIns.has(standIn) || !this.links.has(vm)) return
    const vms = this.cutVms.get(standIn) ?? new Set()
    this.cutVms.set(standIn, vms.add(vm))
    if (standIn === 'table') this.observer.lost(vm)
  }

  private async applyCuts (): Promise<void> {
    const all = [...this.standIns.values()]
    await Promise.all(all.map(async standIn => await standIn.control({ cut: [...this.cutVms.get(standIn.name) ?? []] })))
  }
}
