/**
 * Finds the run that a keyed request already has. Every VM computes the same order of runners
 * for a request id; a runner that is passed over is sealed first, so that no VM can start a
 * second run there.
 */
import type { Maybe } from 'purify-ts'
import type { EngineClient, RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { RunnerAddress } from './completionUnsettled.js'

/** A run that an engine knows. */
export interface KnownRun {
  readonly runner: RunnerAddress
  readonly record: RunRecord
}

/** What was found. */
export interface FoundRun {
  readonly at?: KnownRun
  /** Runners that could be neither sealed nor asked. */
  readonly unsealed: readonly RunnerAddress[]
  /** Whether the choice was sealed by an earlier decision: the run, if any, is further down the order. */
  readonly choiceSealed: boolean
}

/**
 * Seals the runners before the choice and looks the run up at the choice.
 * @param client - reaches engines
 * @param requestId - the keyed request
 * @param before - runners passed over, in order
 * @param choice - runner chosen for a new run
 */
export async function findRun (client: EngineClient, requestId: string, before: readonly RunnerAddress[], choice: RunnerAddress): Promise<FoundRun> {
  const unsealed: RunnerAddress[] = []
  for (const runner of before) {
    const sealed = await client.seal(runner.address, requestId)
    if (sealed.isLeft()) {
      unsealed.push(runner)
      continue
    }
    const record = knownRun(sealed.unsafeCoerce())
    if (record !== undefined) return { at: { runner, record }, unsealed, choiceSealed: false }
  }
  const found = await client.find(choice.address, requestId)
  if (found.isLeft()) return { unsealed, choiceSealed: false }
  const record = found.unsafeCoerce().extractNullable()
  if (record === null) return { unsealed, choiceSealed: false }
  if (record.state === 'sealed') return { unsealed, choiceSealed: true }
  return { at: { runner: choice, record }, unsealed, choiceSealed: false }
}

/** What a look through the order of a refused request found. */
export interface LookedUpRun {
  readonly at?: KnownRun
  /** Whether it is certain that no earlier attempt was run. */
  readonly notRun: boolean
}

/**
 * Looks for the run of an earlier attempt without starting one. A runner that was passed over
 * carries a seal, so the first one without any record proves that nothing was run.
 * @param client - reaches engines
 * @param requestId - the keyed request
 * @param order - runners in the order of the request
 */
export async function lookForRun (client: EngineClient, requestId: string, order: readonly RunnerAddress[]): Promise<LookedUpRun> {
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

function knownRun (record: Maybe<RunRecord>): RunRecord | undefined {
  const known = record.extractNullable()
  return known === null || known.state === 'sealed' ? undefined : known
}
