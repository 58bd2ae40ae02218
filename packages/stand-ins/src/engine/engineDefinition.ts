/**
 * Assembles the engine stand-in: state, routes, control messages and the timer that advances the simulation.
 */
import seedrandom from 'seedrandom'
import { engineControlSchema, type EngineControl } from '../control/controlTypes.js'
import { HistoryLog } from '../control/historyLog.js'
import type { StandInDefinition } from '../control/standIn.js'
import { StreamFaults } from './engineFaults.js'
import { EngineService } from './engineRoutes.js'
import { EngineState, type EngineOptions } from './engineState.js'
import type { WeightSource } from './weightSource.js'

/** Advances the engine when its next step is due. */
class EngineTimer {
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly state: EngineState) {}

  /** Schedules the next step, unless idle or already scheduled. */
  readonly schedule = (): void => {
    const { dueAt } = this.state.batch
    if (this.timer !== undefined || dueAt === undefined) return
    this.timer = setTimeout(() => this.wake(), Math.max(1, dueAt - Date.now()))
  }

  stop (): void {
    clearTimeout(this.timer)
  }

  private wake (): void {
    this.timer = undefined
    this.state.advance(Date.now())
    this.schedule()
  }
}

/**
 * Creates an idle engine.
 * @param seed - seed of the random loss of cache events
 */
export function engineDefinition (options: EngineOptions, seed: string, weights: WeightSource): StandInDefinition {
  const history = new HistoryLog()
  const state = new EngineState(options, seedrandom(seed), history, Date.now())
  const faults = new StreamFaults()
  const timer = new EngineTimer(state)
  return {
    routes: new EngineService(state, faults, weights, timer.schedule).routes(),
    history,
    state: () => state.state,
    controlSchema: engineControlSchema,
    onControl: control => applyControl(state, faults, control),
    stop: () => timer.stop()
  }
}

function applyControl (state: EngineState, faults: StreamFaults, control: EngineControl): void {
  const now = Date.now()
  state.advance(now)
  if (control.mixNext === true) faults.mixNext()
  if (control.doubleEnd === true) faults.doubleEnd()
  if (control.killStreams === true) state.abortRuns(now)
  if (control.leaving !== undefined) state.setLeaving(control.leaving, now)
  state.overreportNext = control.overreportNext ?? state.overreportNext
  state.cache.dropEvents = control.dropCacheEvents ?? state.cache.dropEvents
  state.batch.options.msPerToken = control.msPerToken ?? state.batch.options.msPerToken
}
