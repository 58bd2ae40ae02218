/**
 * Configuration version of each VM, and which VMs lag behind the newest one.
 */
import * as z from 'zod'
import type { VmAnswer } from './adminTypes.js'

export const vmStatusSchema = z.object({
  vm: z.string(),
  domain: z.string(),
  state: z.string(),
  configVersion: z.number().int().nullable(),
  /** Whether the VM is behind the newest version; always false for a terminated VM. */
  lags: z.boolean(),
  /** Milliseconds since the VM last reported this version. */
  ageMs: z.number()
})
export type VmStatus = z.infer<typeof vmStatusSchema>

/** Answer of `GET /admin/v1/config/status`. */
export const configStatusSchema = z.object({
  /** Newest version in force on any VM, as reported to the responding VM. */
  version: z.number().int(),
  vms: z.array(vmStatusSchema)
})
export type ConfigStatus = z.infer<typeof configStatusSchema>

/** State of a VM that the platform has terminated. */
const terminatedState = 'gone'

/**
 * Compares the version of each VM with the newest one in force on any VM.
 * @param localVersion - version in force on the responding VM
 */
export function configStatus (localVersion: number, vms: readonly VmAnswer[]): ConfigStatus {
  const version = Math.max(localVersion, ...vms.map((vm) => vm.configVersion ?? 0))
  return { version, vms: vms.map((vm) => vmStatus(version, vm)) }
}

function vmStatus (version: number, vm: VmAnswer): VmStatus {
  const { domain, state, configVersion, ageMs } = vm
  const isBehind = configVersion === null || configVersion < version
  const lags = isBehind && state !== terminatedState
  return { vm: vm.vm, domain, state, configVersion, lags, ageMs }
}
