/**
 * HTTP API of the platform's VM list. Tests set the entries; callers see changes with a lag.
 */
import * as z from 'zod'
import { vmEntrySchema, type VmEntry } from '@rosemaryspread/infra/vmList/vmListTypes.js'
import { HistoryLog } from '../control/historyLog.js'
import { LaggingValue } from '../control/laggingValue.js'
import type { StandInDefinition } from '../control/standIn.js'

const entriesSchema = z.strictObject({ vms: z.array(vmEntrySchema) })

/** Creates an empty list whose changes become visible after `lagMs`. */
export function vmListDefinition (lagMs: number): StandInDefinition {
  let entries: readonly VmEntry[] = []
  const list = new LaggingValue(entries, Date.now(), lagMs)
  return {
    routes: [{
      method: 'GET',
      pattern: /^\/vms$/,
      serve: () => {
        const now = Date.now()
        const { asOf, value } = list.valueAt(now)
        return { status: 200, body: { asOf, now, vms: value } }
      }
    }],
    history: new HistoryLog(),
    state: () => ({ vms: entries }),
    controlRoutes: [{
      method: 'POST',
      pattern: /^\/control\/vms$/,
      serve: req => {
        entries = req.json(entriesSchema).vms
        list.set(entries, Date.now())
        return { status: 200, body: { vms: entries } }
      }
    }]
  }
}
