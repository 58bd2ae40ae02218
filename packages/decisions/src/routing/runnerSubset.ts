/**
 * Subset of a model's runners that one VM watches and chooses from. Up to the limit it is all of
 * them; beyond it each VM selects a subset by rendezvous hashing, mostly from its own failure domain
 * but always with some from others, so that it has runners left when its domain fails.
 */
import { hashName, pairWeight } from './rendezvous.js'
import type { RunnerView } from './routingTypes.js'

/** Runners that one VM watches per model. */
const MAX_SUBSET_SIZE = 32

/** Runners from other domains, if there are enough of both kinds. */
const MIN_REMOTE_RUNNERS = 8

/**
 * @param vm - name of the VM
 * @param domain - failure domain of the VM
 * @param runners - all runners of the model
 */
export function subsetOf (vm: string, domain: string, runners: readonly RunnerView[]): readonly RunnerView[] {
  if (runners.length <= MAX_SUBSET_SIZE) return runners
  const ranked = rankRunners(vm, runners)
  const local = ranked.filter(view => view.domain === domain)
  const remote = ranked.filter(view => view.domain !== domain)
  const remoteCount = Math.min(remote.length, Math.max(MIN_REMOTE_RUNNERS, MAX_SUBSET_SIZE - local.length))
  return [...local.slice(0, MAX_SUBSET_SIZE - remoteCount), ...remote.slice(0, remoteCount)]
}

function rankRunners (vm: string, runners: readonly RunnerView[]): readonly RunnerView[] {
  const key = hashName(vm)
  const weight = (view: RunnerView): number => pairWeight(key, hashName(view.runner))
  return [...runners].sort((a, b) => weight(b) - weight(a) || (a.runner < b.runner ? -1 : 1))
}
