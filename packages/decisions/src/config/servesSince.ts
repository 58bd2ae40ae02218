/**
 * Records since when each runner serves each model. All VMs order the runners of a keyed request alike, with
 * recently added runners last, so that a retry still finds the earlier run. The times are set when a patch is
 * accepted, so that they are the same on all VMs.
 */
import type { FleetConfig, RunnerConfig } from './configSchema.js'

/**
 * Sets the times of runners and models that a version adds; values in the patch are overwritten.
 * @param at - wall milliseconds of the patch
 */
export function stampServesSince (before: FleetConfig, after: FleetConfig, at: number): FleetConfig {
  const runners = Object.entries(after.runners)
    .map(([runner, config]) => [runner, stampRunner(before.runners[runner], config, at)] as const)
  return { ...after, runners: Object.fromEntries(runners) }
}

/** A runner at another address is a different process without any of the earlier runs. */
function stampRunner (before: RunnerConfig | undefined, after: RunnerConfig, at: number): RunnerConfig {
  const previous = before?.address === after.address ? before.servesSince : {}
  const servesSince = Object.fromEntries(after.models.map(model => [model, previous[model] ?? at]))
  return hasSameTimes(servesSince, after.servesSince) ? after : { ...after, servesSince }
}

/** Detects equal times, so that an unchanged entry is shared between versions. */
function hasSameTimes (left: Readonly<Record<string, number>>, right: Readonly<Record<string, number>>): boolean {
  const models = Object.keys(left)
  return models.length === Object.keys(right).length && models.every(model => left[model] === right[model])
}
