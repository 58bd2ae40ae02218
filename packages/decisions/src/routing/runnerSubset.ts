/**
 * Which runners of a model one VM watches and chooses from. Small models are watched whole;
 * beyond the limit each VM takes its own rendezvous subset, mostly from its failure domain but
 * always with some of another, so that the loss of the own domain leaves runners to go to.
 */
import { hashName, pairWeight } from './rendezvous.js'
import type { RunnerView } from './routingTypes.js'

/** Runners that one VM watches for one model at most. */
const SUBSET_LIMIT = 32

/** How many of them are taken from other domains when both kinds suffice. */
const REMOTE_PLACES = 8

/**
 * The subset of one VM.
 * @param vm - name of the VM
 * @param domain - its failure domain
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
