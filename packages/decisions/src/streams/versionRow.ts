/**
 * The software versions that a service has had, as one row of the store. It outlives the VMs, so that a VM knows at its start which versions may have
 * begun the streams that callers resume. Each version counts for a time after it was last listed; the only one counts always.
 */
import * as z from 'zod'
import type { ServiceVersions } from './streamTypes.js'

/** Time by which a version counts longer than streams may be resumed, so that the row of a service with several versions is written seldom. */
const REFRESH_MS = 15_000

export const versionRowSchema = z.object({
  versions: z.array(z.object({
    version: z.string(),
    /** Milliseconds of the store's clock until which the version counts. */
    until: z.number()
  }))
})
export type VersionRow = z.infer<typeof versionRowSchema>

/**
 * Versions that may have begun streams which callers resume now.
 * @param now - milliseconds of the store's clock
 */
export function versionsInRow ({ versions }: VersionRow, now: number): ServiceVersions {
  const counting = countingVersions(versions, now)
  if (counting.length > 1) return { kind: 'several' }
  const [sole] = counting
  return sole === undefined ? { kind: 'unknown' } : { kind: 'sole', version: sole.version }
}

/**
 * The row to be written; undefined if the stored one says all.
 * @param listed - versions that the register has listed within the time for which streams may be resumed
 * @param now - milliseconds of the store's clock
 * @param spanMs - time for which streams may be resumed
 */
export function nextVersionRow (row: VersionRow | undefined, listed: readonly string[], now: number, spanMs: number): VersionRow | undefined {
  const counting = countingVersions(row?.versions ?? [], now)
  const added = listed.filter(version => !counting.some(other => other.version === version))
  const isSole = added.length + counting.length <= 1
  const isRefreshDue = !isSole && counting.some(({ version, until }) => listed.includes(version) && until - now < spanMs)
  if (added.length === 0 && !isRefreshDue) return undefined
  const until = now + spanMs + REFRESH_MS
  // The version that was the only one may have been listed until now.
  const kept = counting.map(entry => added.length > 0 || listed.includes(entry.version) ? { ...entry, until: Math.max(until, entry.until) } : entry)
  return { versions: [...kept, ...added.map(version => ({ version, until }))] }
}

function countingVersions (versions: VersionRow['versions'], now: number): VersionRow['versions'] {
  return versions.length === 1 ? versions : versions.filter(({ until }) => until > now)
}
