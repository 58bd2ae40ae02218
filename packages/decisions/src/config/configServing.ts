/**
 * Since when each runner serves each model. VMs order the runners of a keyed request alike, and a
 * runner that came lately goes last in that order, so that a repeat still finds the earlier run.
 * The times are set when a patch is accepted, so that all VMs have the same.
 */
import type { FleetConfig, RunnerConfig } from './configSchema.js'

/**
 * Sets the times of what is new in a version; whatever a patch says of them is overwritten.
 * @param before - the version that was patched
 * @param after - the patched version
 * @param at - wall milliseconds of the patch
 */
export function stampServing (before: FleetConfig, after: FleetConfig, at: number): FleetConfig {
  const runners = Object.entries(after.runners)
    .map(([runner, config]) => [runner, stampRunner(before.runners[runner], config, at)] as const)
  return { ...after, runners: Object.fromEntries(runners) }
}

/** A runner at another address is another process and knows none of the earlier runs. */
function stampRunner (before: RunnerConfig | undefined, after: RunnerConfig, at: number): RunnerConfig {
  const known = before?.address === after.address ? before.servesSince : {}
  const servesSince = Object.fromEntries(after.models.map(model => [model, known[model] ?? at]))
  return isSame(servesSince, after.servesSince) ? after : { ...after, servesSince }
}

/** An entry that stays as it was is shared between versions. */
function isSame (left: Readonly<Record<string, number>>, right: Readonly<Record<string, number>>): boolean {
  const models = Object.keys(left)
  return models.length === Object.keys(right).length && models.every(model => left[model] === right[model])
}
