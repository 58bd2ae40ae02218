/**
 * Finds the existing run of a keyed request. Every VM computes the same order of runners for a
 * request id; a runner that is skipped is sealed first, so that no VM can start a second run there.
 */
import type { Maybe } from 'purify-ts'
import type { EngineClient, RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { RunnerAddress } from './completionUnsettled.js'

/** A run that an engine has on record. */
export interface ExistingRun {
  readonly runner: RunnerAddress
  readonly record: RunRecord
}

/** Result of {@link sealAndFindRun}. */
export interface RunSearch {
  readonly at?: ExistingRun
  /** Skipped runners that could not be sealed. */
  readonly unsealed: readonly RunnerAddress[]
  /** Whether an earlier attempt sealed the chosen runner: the run, if any, is then at a later runner of the order. */
  readonly isChoiceSealed: boolean
  /** Whether an earlier attempt may have run the request at a runner that did not answer. */
  readonly isUncertain: boolean
}

/**
 * Seals the skipped runners and looks the run up at the chosen one.
 * @param skipped - runners ahead of `choice` in the order of the request
 * @param choice - runner chosen for a new run
 */
export async function sealAndFindRun (client: EngineClient, requestId: string, skipped: readonly RunnerAddress[], choice: RunnerAddress): Promise<RunSearch> {
  const unsealed: RunnerAddress[] = []
  for (const runner of skipped) {
    const sealed = await client.seal(runner.address, requestId)
    if (sealed.isLeft()) {
      unsealed.push(runner)
      continue
    }
    const record = startedRun(sealed.unsafeCoerce())
    if (record !== undefined) return { at: { runner, record }, unsealed, isChoiceSealed: false, isUncertain: false }
  }
  const found = await client.find(choice.address, requestId)
  if (found.isLeft()) return { unsealed, isChoiceSealed: false, isUncertain: true }
  const isUncertain = unsealed.length > 0
  const record = found.unsafeCoerce().extractNullable()
  if (record === null) return { unsealed, isChoiceSealed: false, isUncertain }
  if (record.state === 'sealed') return { unsealed, isChoiceSealed: true, isUncertain }
  return { at: { runner: choice, record }, unsealed, isChoiceSealed: false, isUncertain: false }
}

/** Result of {@link lookUpRun}. */
export interface RunLookup {
  readonly at?: ExistingRun
  /** Whether it is certain that no earlier attempt ran. */
  readonly notRun: boolean
}

/**
 * Looks up the run of an earlier attempt without sealing or starting anything. Every skipped runner
 * was sealed, so the first runner without a record proves that nothing ran.
 * @param order - runners in the order of the request
 */
export async function lookUpRun (client: EngineClient, requestId: string, order: readonly RunnerAddress[]): Promise<RunLookup> {
  let isCertain = true
  for (const runner of order) {
    const found = await client.find(runner.address, requestId)
    if (found.isLeft()) {
      isCertain = false
      continue
    }
    const record = found.unsafeCoerce().extractNullable()
    if (record === null) return { notRun: isCertain }
    if (record.state !== 'sealed') return { at: { runner, record }, notRun: false }
  }
  return { notRun: isCertain }
}

function startedRun (record: Maybe<RunRecord>): RunRecord | undefined {
  const run = record.extractNullable()
  return run === null || run.state === 'sealed' ? undefined : run
}
