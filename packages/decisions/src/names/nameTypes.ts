/**
 * Names used between VMs. A VM name survives restarts; a holder id names one incarnation of the VM,
 * so that allotments of an earlier process are never mistaken for those of the current one.
 */

/** One incarnation of a VM, `<vm>~<token>`; the holder of allotments and leases. */
export type HolderId = string

/**
 * Holder id of a new process.
 * @param vm - name of the VM from the settings
 * @param token - unique per incarnation, such as a random hex string
 */
export function holderOf (vm: string, token: string): HolderId {
  return `${vm}~${token}`
}

/** VM name within a holder id. */
export function vmOf (holder: HolderId): string {
  return holder.slice(0, holder.lastIndexOf('~'))
}
