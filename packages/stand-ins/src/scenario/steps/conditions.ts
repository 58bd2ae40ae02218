/**
 * Evaluates the conditions of `until` and `expect` steps.
 */
import type { HistoryRecord } from '../../history/historyTypes.js'
import type { Fleet } from '../fleet/fleet.js'
import type { Condition } from '../language/scenarioSchema.js'
import { describeOutcome, fitsExpectation } from './outcomeText.js'
import type { RequestBook } from './requestBook.js'
import type { RequestSteps } from './requestSteps.js'

export class Conditions {
  constructor (private readonly fleet: Fleet, private readonly book: RequestBook, private readonly requests: RequestSteps) {}

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
    const { asks } = this.book.get(request)
    const last = asks.at(-1)
    const unmet: string[] = []
    if (pieces !== undefined && (last?.pieces ?? 0) < pieces) unmet.push(`request ${request} has received ${last?.pieces ?? 0} pieces`)
    if (outcome !== undefined && !fitsExpectation(last, outcome)) unmet.push(`request ${request}: ${asks.map(describeOutcome).join(', ')}`)
    if (sameAs !== undefined && last?.text !== this.book.get(sameAs).asks.at(-1)?.text) unmet.push(`the answers of ${request} and ${sameAs} differ`)
    return unmet
  }

  private async unmetRuns ({ request, ran }: Condition): Promise<string[]> {
    if (request === undefined || ran === undefined) return []
    const ids = new Set(this.book.get(request).asks.map(ask => ask.requestId))
    const runs = (await this.fleet.history()).filter(record => record.kind === 'ran' && ids.has(record.requestId))
    return runs.length === ran ? [] : [`request ${request} ran ${runs.length} times`]
  }

  private async unmetVersion ({ inForce, accepted }: Condition): Promise<string[]> {
    if (inForce === undefined && accepted === undefined) return []
    const latest = latestAccepted(await this.fleet.history())
    const unmet = accepted === undefined || accepted === latest ? [] : [`version ${latest} is the highest accepted`]
    return [...unmet, ...this.vmsBelow(inForce === 'latest' ? latest : inForce ?? 0)]
  }

  private vmsBelow (wanted: number): string[] {
    return [...this.fleet.vms.values()]
      .filter(vm => vm.up && vm.versionInForce < wanted)
      .map(vm => `VM ${vm.name} has version ${vm.versionInForce} in force, expected ${wanted}`)
  }

  private unmetVm ({ stopped, vm, logged }: Condition): string[] {
    const unmet: string[] = []
    if (stopped !== undefined && this.fleet.vm(stopped).running) unmet.push(`VM ${stopped} is still running`)
    if (vm !== undefined && logged !== undefined && !this.fleet.vm(vm).lines.some(line => line.event === logged)) {
      unmet.push(`VM ${vm} has not logged ${logged}`)
    }
    return unmet
  }

  private unmetLoad ({ load, answered }: Condition): string[] {
    if (load === undefined) return []
    const progress = this.requests.loads.get(load)
    const found = progress?.answered ?? 0
    return found >= (answered ?? 0) ? [] : [`load ${load} has ${found} answers, ${progress?.ended ?? 0} requests ended`]
  }
}

function latestAccepted (records: readonly HistoryRecord[]): number {
  return Math.max(0, ...records.map(record => record.kind === 'configAccepted' ? record.version : 0))
}
