/**
 * HTTP API of the platform's VM list. Tests set the entries; callers see changes with a lag.
 */
import * as z from 'zod'
import { vmEntrySchema, type VmEntry } from '@rosemaryspread/infra/vmList/vmListTypes.js'
import { HistoryLog } from '../control/historyLog.js'
import { LaggingValue } from '../control/laggingValue.js'
import type { StandInParts } from '../control/standIn.js'

const entriesSchema = z.strictObject({ vms: z.array(vmEntrySchema) })

/** Creates an empty list whose changes become visible after `lagMs`. */
export function vmListParts (lagMs: number): StandInParts {
  let present: readonly VmEntry[] = []
  const list = new LaggingValue(present, Date.now(), lagMs)
  return {
    routes: [{
      method: 'GET',
      pattern: /^\/vms$/,
      serve: () => {
        const now = Date.now()
        const { asOf, value } = list.seen(now)
        return { status: 200, body: { asOf, now, vms: value } }
      }
    }],
    history: new HistoryLog(),
    state: () => ({ vms: present }),
    controlRoutes: [{
      method: 'POST',
      pattern: /^\/control\/vms$/,
      serve: req => {
        present = req.json(entriesSchema).vms
        list.set(present, Date.now())
        return { status: 200, body: { vms: present } }
      }
    }]
  }
}
