/**
 * Cuts between VMs and whatever they talk to: other VMs over fake links, the platform and the
 * runners at the control ports of their stand-ins.
 */
import type { RecordOf } from '../../history/historyTypes.js'
import type { CutStep } from '../language/scenarioSchema.js'
import type { FakeLink, LinkState } from './fakeLink.js'
import type { StandInProcess } from './standInProcess.js'

/** Records of VMs that came out of reach of the table or back. */
export type ReachRecord = RecordOf<'vmDown'> | RecordOf<'vmUp'>

/** The network of one fleet. */
export class Network {
  private readonly cutFrom = new Map<string, Set<string>>()

  /**
   * @param links - link in front of each VM; empty when the scenario makes no cuts
   * @param standIns - all stand-ins by name
   * @param namesIn - the names that a name of a VM, stand-in or failure domain means
   * @param note - takes records
   */
  constructor (
    private readonly links: ReadonlyMap<string, FakeLink>,
    private readonly standIns: ReadonlyMap<string, StandInProcess>,
    private readonly namesIn: (name: string) => readonly string[],
    private readonly note: (record: ReachRecord) => void
  ) {}

  /** @param step - which sides to part, and how */
  async cut (step: CutStep): Promise<void> {
    const [left, right] = step.between.map(side => side.flatMap(this.namesIn)) as [string[], string[]]
    for (const a of left) for (const b of right) this.cutPair(a, b, step.hold ? 'held' : 'cut')
    await this.send()
  }

  async healAll (): Promise<void> {
    for (const vm of this.cutFrom.get('table') ?? []) this.note({ kind: 'vmUp', at: Date.now(), vm })
    this.cutFrom.clear()
    for (const link of this.links.values()) for (const vm of this.links.keys()) link.set(vm, 'open')
    await this.send()
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
    if (standIn === 'table') this.note({ kind: 'vmDown', at: Date.now(), vm, cause: 'cut' })
  }

  private async send (): Promise<void> {
    const all = [...this.standIns.values()]
    await Promise.all(all.map(async standIn => await standIn.control({ cut: [...this.cutFrom.get(standIn.name) ?? []] })))
  }
}
