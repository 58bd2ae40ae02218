/**
 * The platform's list of live and leaving VMs. It lags: what it says is evidence with an age.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** One entry; `gone` means that the platform ended the VM and it cannot wake. */
export const vmEntrySchema = z.object({
  vm: z.string(),
  domain: z.string(),
  address: z.string(),
  state: z.enum(['live', 'leaving', 'gone'])
})
export type VmEntry = z.infer<typeof vmEntrySchema>

/** The list and the wall time for which it held. */
export const vmListAnswerSchema = z.object({ asOf: z.number(), now: z.number(), vms: z.array(vmEntrySchema) })
export type VmListAnswer = z.infer<typeof vmListAnswerSchema>

/** The list service. */
export interface VmList {
  list (): Promise<Either<Failure, VmListAnswer>>
}
