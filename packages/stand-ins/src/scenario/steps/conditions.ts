/**
 * Evaluates the conditions of `until` and `expect` steps.
 */
import type { HistoryRecord } from '../../history/historyTypes.js'
import type { Fleet } from '../fleet/fleet.js'
import type { Condition } from '../language/scenarioSchema.js'
import { describeOutcome, meetsExpectation } from './outcomeText.js'
import type { RequestRegistry } from './requestRegistry.js'
import type { RequestSteps } from './requestSteps.js'

export class Conditions {
  constructor (private readonly fleet: Fleet, private readonly registry: RequestRegistry, private readonly requests: RequestSteps) {}

  /** Describes what does not hold yet; empty when the condition is met. */
  async unmet (condition: Condition): Promise<readonly string[]> {
    return [
      ...this.unmetRequest(condition),
      ...await this.unmetRuns(condition),
      ...await this.unmetVersion(condition),
      ...this.unmetVm(condition),
      ...this.unmetLoad(condition)
    ]
  }

  private unmetRequest ({ request, pieces, outcome, sameAs }: Condition): string[] {
    if (request === undefined) return []
    const { attempts } = this.registry.get(request)
    const lastAttempt = attempts.at(-1)
    const unmet: string[] = []
    if (pieces !== undefined && (lastAttempt?.pieces ?? 0) < pieces) unmet.push(`request ${request} has received ${lastAttempt?.pieces ?? 0} pieces`)
    if (outcome !== undefined && !meetsExpectation(lastAttempt, outcome)) unmet.push(`request ${request}: ${attempts.map(describeOutcome).join(', ')}`)
    if (sameAs !== undefined && lastAttempt?.text !== this.registry.get(sameAs).attempts.at(-1)?.text) unmet.push(`the answers of ${request} and ${sameAs} differ`)
    return unmet
  }

  private async unmetRuns ({ request, ran }: Condition): Promise<string[]> {
    if (request === undefined || ran === undefined) return []
    const ids = new Set(this.registry.get(request).attempts.map(attempt => attempt.requestId))
    const runs = (await this.fleet.history()).filter(record => record.kind === 'ran' && ids.has(record.requestId))
    return runs.length === ran ? [] : [`request ${request} ran ${runs.length} times`]
  }

  private async unmetVersion ({ inForce, accepted }: Condition): Promise<string[]> {
    if (inForce === undefined && accepted === undefined) return []
    const latest = latestAccepted(await this.fleet.history())
    const unmet = accepted === undefined || accepted === latest ? [] : [`version ${latest} is the highest accepted`]
    return [...unmet, ...this.vmsBelow(inForce === 'latest' ? latest : inForce ?? 0)]
  }

  private vmsBelow (expected: number): string[] {
    return [...this.fleet.vms.values()]
      .filter(vm => vm.isUp && vm.versionInForce < expected)
      .map(vm => `VM ${vm.name} has version ${vm.versionInForce} in force, expected ${expected}`)
  }

  private unmetVm ({ stopped, vm, logged }: Condition): string[] {
    const unmet: string[] = []
    if (stopped !== undefined && this.fleet.vm(stopped).running) unmet.push(`VM ${stopped} is still running`)
    if (vm !== undefined && logged !== undefined && !this.fleet.vm(vm).logLines.some(line => line.event === logged)) {
      unmet.push(`VM ${vm} has not logged ${logged}`)
    }
    return unmet
  }

  private unmetLoad ({ load, answered }: Condition): string[] {
    if (load === undefined) return []
    const progress = this.requests.loads.get(load)
    const answeredCount = progress?.answered ?? 0
    return answeredCount >= (answered ?? 0) ? [] : [`load ${load} has ${answeredCount} answers, ${progress?.ended ?? 0} requests ended`]
  }
}

function latestAccepted (records: readonly HistoryRecord[]): number {
  return Math.max(0, ...records.map(record => record.kind === 'configAccepted' ? record.version : 0))
}
