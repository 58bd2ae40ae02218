/** Targets of the gateway: what the platform's register lists, with a log line for each change. */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TargetBalancer } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import { TargetSet, type TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { TargetDirectory } from './gatewayTypes.js'

/** Follows the register of targets. */
export class GatewayTargets implements TargetDirectory {
  private readonly set = new TargetSet()

  constructor (private readonly clock: Clock, private readonly balancer: TargetBalancer, private readonly log: EventLog) {}

  serving (service: string): readonly TargetView[] {
    return this.set.serving(service)
  }

  /**
   * Takes the whole register.
   * @param views - all entries
   */
  replaced (views: readonly TargetView[]): void {
    for (const view of views) this.noteRestart(view)
    this.set.replace(views, this.mono)
    this.balancer.forget(id => this.set.has(id))
    this.log.write('targetsRead', { targets: views.length })
  }

  /**
   * Takes one entry that was written.
   * @param view - the entry
   */
  changed (view: TargetView): void {
    const { id, isLeaving } = view
    if (this.set.isNew(view)) this.log.write('runnerState', { runner: id, state: isLeaving ? 'leaving' : 'active', reason: 'the register says so' })
    this.noteRestart(view)
    this.set.put(view)
  }

  /**
   * Takes an entry that cannot be read: it names no target, also if it did before.
   * @param id - id of the entry
   * @param detail - what does not fit
   */
  unusable (id: string, detail: string): void {
    if (this.set.has(id)) this.log.write('runnerState', { runner: id, state: 'leaving', reason: 'its entry cannot be read' })
    this.log.write('platformFault', { service: 'register', operation: 'decode', code: id, detail })
    this.set.discard(id)
  }

  /**
   * Takes the removal of an entry.
   * @param id - id of the target
   */
  removed (id: string): void {
    this.set.remove(id, this.mono)
    this.log.write('runnerState', { runner: id, state: 'leaving', reason: 'its entry was removed' })
  }

  /** The register could not be read. */
  unreadable (): void {
    this.set.registerFailed(this.mono)
  }

  /** To be called several times a second. */
  tick (): void {
    this.set.tick(this.mono)
  }

  private noteRestart (view: TargetView): void {
    if (!this.set.isRestarted(view)) return
    this.balancer.restarted(view.id)
    this.log.write('runnerState', { runner: view.id, state: 'active', reason: 'another process has its id' })
  }

  private get mono (): number {
    return this.clock.now().mono
  }
}
