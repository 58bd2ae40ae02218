/**
 * Cuts between VMs and whatever they talk to: other VMs over fake links, the platform and the
 * runners at the control ports of their stand-ins.
 */
import type { CutStep } from '../language/scenarioSchema.js'
import type { FakeLink, LinkState } from './fakeLink.js'
import type { StandInProcess } from './standInProcess.js'

/** Told which VMs lost their way to the table or have it back. */
export interface ReachObserver {
  lost (vm: string): void
  regained (vm: string): void
}

/** The network of one fleet. */
export class Network {
  private readonly cutFrom = new Map<string, Set<string>>()

  /**
   * @param links - link in front of each VM; empty when the scenario makes no cuts
   * @param standIns - all stand-ins by name
   * @param namesIn - the names that a name of a VM, stand-in or failure domain means
   * @param observer - told who reaches the table
   */
  constructor (
    private readonly links: ReadonlyMap<string, FakeLink>,
    private readonly standIns: ReadonlyMap<string, StandInProcess>,
    private readonly namesIn: (name: string) => readonly string[],
    private readonly observer: ReachObserver
  ) {}

  /** @param step - which sides to part, and how */
  async cut (step: CutStep): Promise<void> {
    const [left, right] = step.between.map(side => side.flatMap(this.namesIn)) as [string[], string[]]
    for (const a of left) for (const b of right) this.cutPair(a, b, step.hold ? 'held' : 'cut')
    await this.send()
  }

  async healAll (): Promise<void> {
    const cutOff = [...this.cutFrom.get('table') ?? []]
    this.cutFrom.clear()
    for (const link of this.links.values()) for (const vm of this.links.keys()) link.set(vm, 'open')
    await this.send()
    for (const vm of cutOff) this.observer.regained(vm)
  }

  /**
   * Whether a VM cannot reach the table.
   * @param vm - the VM
   */
  isCutOff (vm: string): boolean {
    return this.cutFrom.get('table')?.has(vm) === true
  }

  private cutPair (a: string, b: string, state: LinkState): void {
    this.links.get(a)?.set(b, state)
    this.links.get(b)?.set(a, state)
    this.cutStandIn(a, b)
    this.cutStandIn(b, a)
  }

  private cutStandIn (standIn: string, vm: string): void {
    if (!this.standIns.has(standIn) || !this.links.has(vm)) return
    const vms = this.cutFrom.get(standIn) ?? new Set()
    this.cutFrom.set(standIn, vms.add(vm))
    if (standIn === 'table') this.observer.lost(vm)
  }

  private async send (): Promise<void> {
    const all = [...this.standIns.values()]
    await Promise.all(all.map(async standIn => await standIn.control({ cut: [...this.cutFrom.get(standIn.name) ?? []] })))
  }
}
