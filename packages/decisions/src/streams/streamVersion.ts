/**
 * Decides which software version began a stream, from what this VM and others know of it. A version that is not known is never guessed.
 */
import type { ServiceVersions, StreamAnswer } from './streamTypes.js'

/** How a VM knows the version of a stream. */
export type VersionSource = 'ownRecord' | 'otherRecord' | 'storedRecord' | 'soleVersion'

export interface KnownVersion {
  readonly version: string
  readonly source: VersionSource
}

/**
 * Decides the version of a stream of which this VM has no record.
 * @param own - versions of the service as this VM knows them
 * @param answers - of the VMs that were asked
 * @returns undefined if the version is not known
 */
export function decideVersion (own: ServiceVersions, answers: readonly StreamAnswer[]): KnownVersion | undefined {
  const recorded = new Set(answers.flatMap(({ version }) => version ?? []))
  if (recorded.size > 0) return knownVersion(recorded, 'otherRecord')
  const views = [own, ...answers.map(({ service }) => service)]
  if (views.some(({ kind }) => kind === 'several')) return undefined
  return knownVersion(new Set(views.flatMap(view => view.kind === 'sole' ? view.version : [])), 'soleVersion')
}

function knownVersion (versions: ReadonlySet<string>, source: VersionSource): KnownVersion | undefined {
  const [version] = versions
  return versions.size === 1 && version !== undefined ? { version, source } : undefined
}
