/**
 * Decides who pays for a request that two holders ran, which happens when the second could not reach the first runner in
 * the order of its key. The run that is earlier in that order is billed to its holder; live holders settle by the same
 * rule.
 */
import { Either, type Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { keyedRank } from '@rosemaryspread/decisions/routing/keyedOrder.js'
import type { RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { DeclaredRunner, RecoveryRunners } from './budgetRecoveryRuns.js'

/** Finds duplicate runs that are billed to another holder. */
export class DuplicateRuns {
  constructor (private readonly runners: RecoveryRunners) {}

  /**
   * Whether another holder ran the same request at an earlier runner. Fails while an earlier runner cannot be queried.
   * @param record - a run of a terminated holder
   * @param wall - milliseconds of the table's clock
   */
  async isBilledToOtherHolder (record: RunRecord, runner: string, wall: number): Promise<Either<Failure, boolean>> {
    const earlier = this.earlierRunners(record, runner, wall)
    const found = await Promise.all(earlier.map(async ({ address }) => await this.runners.engines.find(address, record.requestId)))
    return Either.sequence(found).map(all => all.some(run => isRunOfOtherHolder(run, record.holder)))
  }

  private earlierRunners (record: RunRecord, ranAt: string, wall: number): readonly DeclaredRunner[] {
    const serving = this.runners.declared().filter(({ servesSince }) => record.model in servesSince)
    const rank = ({ runner, servesSince }: DeclaredRunner): number => keyedRank(record.requestId, runner, servesSince[record.model], wall)
    const executing = serving.find(({ runner }) => runner === ranAt)
    return executing === undefined ? serving : serving.filter(other => rank(other) > rank(executing))
  }
}

function isRunOfOtherHolder (run: Maybe<RunRecord>, holder: string): boolean {
  return run.map(found => found.state !== 'sealed' && found.holder !== holder).orDefault(false)
}
