/**
 * Commands `vm list`, `runner list` and `addresses`.
 */
import * as z from 'zod'
import { runnerAnswerSchema, vmAnswerSchema } from '../admin/adminTypes.js'
import type { CtlAction } from './ctlTypes.js'
import { formatAge, formatTable } from './textTable.js'

const vmsSchema = z.object({ vms: z.array(vmAnswerSchema) })
const runnersSchema = z.object({ runners: z.array(runnerAnswerSchema) })
const addressesSchema = z.object({ addresses: z.array(z.string()), keepMs: z.number() })

/** `vm list` */
export const listVms: CtlAction = async ({ client }) => {
  const answer = await client.get('/admin/v1/vms', vmsSchema)
  return answer.map(({ vms }) => {
    const rows = vms.map(({ vm, domain, address, state, configVersion, ageMs }) =>
      [vm, domain, address, state, configVersion, formatAge(ageMs)])
    return { value: vms, text: formatTable(['VM', 'DOMAIN', 'ADDRESS', 'STATE', 'VERSION', 'HEARD'], rows) }
  })
}

/** `runner list` */
export const listRunners: CtlAction = async ({ client }) => {
  const answer = await client.get('/admin/v1/runners', runnersSchema)
  return answer.map(({ runners }) => {
    const rows = runners.map(({ runner, kind, domain, address, state, reason, inFlight, reportAgeMs }) =>
      [runner, kind, domain, address, state, inFlight, reportAgeMs === undefined ? null : formatAge(reportAgeMs), reason ?? null])
    return { value: runners, text: formatTable(['RUNNER', 'KIND', 'DOMAIN', 'ADDRESS', 'STATE', 'IN FLIGHT', 'REPORT AGE', 'REASON'], rows) }
  })
}

/** `addresses` */
export const listAddresses: CtlAction = async ({ client }) => {
  const answer = await client.get('/admin/v1/addresses', addressesSchema)
  return answer.map((value) => ({ value, text: [...value.addresses, `keep for ${formatAge(value.keepMs)}`].join('\n') }))
}
