/**
 * Verifies the result of a {@link ConfigFleet} run from the rows of the table and the versions that came into force. Each
 * finding is one violated guarantee.
 */
import { initialConfig, replayRows } from '@rosemaryspread/decisions/config/configPatch.js'
import { CURRENT_TABLE, currentRowSchema, PATCH_TABLE, patchRowSchema, VERSION_TABLE, versionRowSchema, type VersionRow } from '@rosemaryspread/decisions/config/configRows.js'
import type { ConfigFleet, InForceRecord } from './configFleet.js'

/** The outcome of a patch id as reported to an operator. */
export interface ReportedOutcome {
  readonly patchId: string
  readonly outcome: 'accepted' | 'notRun' | 'unknown'
  readonly version?: number
}

/** All version rows in order. */
export function versionRows (fleet: ConfigFleet): readonly VersionRow[] {
  return fleet.state.all(VERSION_TABLE).map(row => versionRowSchema.parse(row.value))
}

/**
 * All violated guarantees of a finished run.
 * @param reported - outcomes reported to operators; an id may occur several times
 */
export function verifyFleet (fleet: ConfigFleet, reported: readonly ReportedOutcome[] = []): readonly string[] {
  return [...verifyChain(fleet), ...verifyInForce(fleet), ...verifyReported(fleet, reported)]
}

function verifyChain (fleet: ConfigFleet): string[] {
  const rows = versionRows(fleet)
  const findings = replayRows(initialConfig(), rows).swap().map(failure => [`the versions do not form a chain: ${failure.message}`]).orDefault([])
  const ids = rows.map(row => row.patchId)
  if (new Set(ids).size < ids.length) findings.push('a patch was accepted twice')
  const current = fleet.state.all(CURRENT_TABLE)[0]
  const newest = current === undefined ? 0 : currentRowSchema.parse(current.value).version
  if (newest !== rows.length) findings.push(`there are ${rows.length} versions, but the current one is ${newest}`)
  const patches = new Map(fleet.state.all(PATCH_TABLE).map(row => [row.key, patchRowSchema.parse(row.value).version]))
  for (const row of rows) {
    if (patches.get(row.patchId) !== row.version) findings.push(`version ${row.version} is not recorded for patch ${row.patchId}`)
  }
  return findings
}

/**
 * A VM must not return to an older version, also not after a restart. The first version of a new process that cannot
 * reach the table is exempt: it is the newest that another source proves.
 */
function verifyInForce (fleet: ConfigFleet): string[] {
  const digests = new Map([[0, initialConfig().digest], ...versionRows(fleet).map(row => [row.version, row.digest] as const)])
  const last = new Map<string, InForceRecord>()
  return fleet.inForce.flatMap(record => {
    const previous = last.get(record.vm)
    last.set(record.vm, record)
    const isExempt = previous?.incarnation !== record.incarnation && record.source !== 'table'
    const hasRegressed = previous !== undefined && record.version < previous.version && !isExempt
    return [
      ...(hasRegressed ? [`${record.vm} regressed from version ${previous.version} to ${record.version}`] : []),
      ...(digests.get(record.version) === record.digest ? [] : [`${record.vm} has version ${record.version}, which was not accepted`])
    ]
  })
}

function verifyReported (fleet: ConfigFleet, reported: readonly ReportedOutcome[]): string[] {
  const versions = new Map(versionRows(fleet).map(row => [row.patchId, row.version]))
  const possiblyExecuted = new Set(reported.filter(({ outcome }) => outcome !== 'notRun').map(({ patchId }) => patchId))
  return reported.flatMap(({ patchId, outcome, version }) => {
    if (outcome === 'accepted' && versions.get(patchId) !== version) return [`${patchId} was accepted as ${version} but is ${versions.get(patchId)}`]
    if (outcome === 'notRun' && !possiblyExecuted.has(patchId) && versions.has(patchId)) return [`${patchId} was refused but took effect`]
    return []
  })
}
