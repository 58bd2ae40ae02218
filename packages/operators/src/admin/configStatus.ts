/**
 * Which VM is at which configuration version, and who lags.
 */
import * as z from 'zod'
import type { VmAnswer } from './adminTypes.js'

/** One VM's version. */
export const vmStatusSchema = z.object({
  vm: z.string(),
  domain: z.string(),
  state: z.string(),
  configVersion: z.number().int().nullable(),
  /** Whether the VM is behind the newest version; never said of one that is gone. */
  lags: z.boolean(),
  /** Milliseconds since the VM was last heard of with this version. */
  ageMs: z.number()
})
export type VmStatus = z.infer<typeof vmStatusSchema>

/** Answer of `GET /admin/v1/config/status`. */
export const configStatusSchema = z.object({
  /** The newest version known to the VM that answers. */
  version: z.number().int(),
  vms: z.array(vmStatusSchema)
})
export type ConfigStatus = z.infer<typeof configStatusSchema>

/** State of a VM that the platform ended; nothing waits for it. */
const endedState = 'gone'

/**
 * Compares the VMs with the newest version known.
 * @param inForce - version in force on the VM that answers
 * @param vms - all VMs
 */
export function configStatus (inForce: number, vms: readonly VmAnswer[]): ConfigStatus {
  const version = Math.max(inForce, ...vms.map((vm) => vm.configVersion ?? 0))
  return { version, vms: vms.map((vm) => vmStatus(version, vm)) }
}

function vmStatus (version: number, vm: VmAnswer): VmStatus {
  const { domain, state, configVersion, ageMs } = vm
  const behind = configVersion === null || configVersion < version
  const lags = behind && state !== endedState
  return { vm: vm.vm, domain, state, configVersion, lags, ageMs }
}
