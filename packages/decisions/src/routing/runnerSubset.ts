/**
 * Subset of a model's runners that one VM watches and chooses from. Up to the limit it is all of
 * them; beyond it each VM selects a subset by rendezvous hashing, mostly from its own failure domain
 * but always with some from others, so that it has runners left when its domain fails.
 */
import { hashName, pairWeight } from './rendezvous.js'
import type { RunnerView } from './routingTypes.js'

/** Runners that one VM watches per model. */
const SUBSET_LIMIT = 32

/** Runners from other domains, if there are enough of both kinds. */
const REMOTE_PLACES = 8

/**
 * @param vm - name of the VM
 * @param domain - failure domain of the VM
 * @param runners - all runners of the model
 */
export function subsetOf (vm: string, domain: string, runners: readonly RunnerView[]): readonly RunnerView[] {
  if (runners.length <= SUBSET_LIMIT) return runners
  const ranked = rankFor(vm, runners)
  const own = ranked.filter(view => view.domain === domain)
  const remote = ranked.filter(view => view.domain !== domain)
  const remotePlaces = Math.min(remote.length, Math.max(REMOTE_PLACES, SUBSET_LIMIT - own.length))
  return [...own.slice(0, SUBSET_LIMIT - remotePlaces), ...remote.slice(0, remotePlaces)]
}

function rankFor (vm: string, runners: readonly RunnerView[]): readonly RunnerView[] {
  const key = hashName(vm)
  const weight = (view: RunnerView): number => pairWeight(key, hashName(view.runner))
  return [...runners].sort((a, b) => weight(b) - weight(a) || (a.runner < b.runner ? -1 : 1))
}
