/**
 * Soak test: runs random scenarios from a seed one after another until the time is over.
 */
import { rm } from 'node:fs/promises'
import { join } from 'node:path'
import { runScenario } from '../scenarioRun.js'
import { randomScenario } from './randomScenario.js'

const MS_PER_MINUTE = 60_000

export interface SoakOptions {
  readonly seed: string
  readonly minutes: number
  readonly folder: string
  /** Rerun only this round of the seed. */
  readonly round?: number | undefined
}

/**
 * Runs random scenarios until the time is over, at least one; folders of failed rounds are retained.
 * @returns whether all promises held
 */
export async function soak ({ seed, minutes, folder, round: onlyRound }: SoakOptions): Promise<boolean> {
  const first = onlyRound ?? 0
  const endAt = onlyRound === undefined ? Date.now() + minutes * MS_PER_MINUTE : Date.now()
  const failedRounds: string[] = []
  let rounds = 0
  do {
    const round = `${seed}-${first + rounds}`
    rounds++
    const verdict = await runScenario(randomScenario(round), { folder: join(folder, round) })
    console.log(`${verdict.passed ? 'ok    ' : 'FAILED'} round ${round} (${verdict.durationMs} ms, ${verdict.records} records)`)
    if (verdict.passed) await rm(verdict.folder, { recursive: true })
    else {
      failedRounds.push(round)
      console.log(`${verdict.report}\nhistory: ${verdict.folder}`)
    }
  } while (Date.now() < endAt)
  console.log(`soak: seed ${seed}, ${rounds} rounds, ${failedRounds.length} with broken promises${failedRounds.length === 0 ? '' : `: ${failedRounds.join(' ')}`}`)
  return failedRounds.length === 0
}
