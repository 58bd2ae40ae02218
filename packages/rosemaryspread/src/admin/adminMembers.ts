/**
 * Converts the membership view to the admin API's list of VMs.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { MemberView } from '@rosemaryspread/decisions/membership/memberTypes.js'
import type { VmAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'

export async function toVmAnswers (members: readonly MemberView[]): Promise<Either<Failure, readonly VmAnswer[]>> {
  return Right(members.map(({ vm, domain, callers, state, configVersion, ageMs }) =>
    ({ vm, domain, address: callers, state, configVersion, ageMs: Math.round(ageMs) })))
}
