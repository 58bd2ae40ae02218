/**
 * Interface of the platform's VM list. The list lags behind, so entries are evidence with an age, not the current state.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** One entry; `gone` means that the platform has terminated the VM and it cannot resume. */
export const vmEntrySchema = z.object({
  vm: z.string(),
  domain: z.string(),
  address: z.string(),
  state: z.enum(['live', 'leaving', 'gone'])
})
export type VmEntry = z.infer<typeof vmEntrySchema>

/** The list, the time at which it was valid (`asOf`) and the platform's clock (`now`), in wall-clock milliseconds. */
export const vmListAnswerSchema = z.object({ asOf: z.number(), now: z.number(), vms: z.array(vmEntrySchema) })
export type VmListAnswer = z.infer<typeof vmListAnswerSchema>

export interface VmList {
  list (): Promise<Either<Failure, VmListAnswer>>
}
