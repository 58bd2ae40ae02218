/**
 * Names that go between VMs. A VM name lasts over restarts; a holder is one incarnation of it,
 * so that what an earlier process held is never taken for the present one's.
 */

/** One incarnation of a VM: `<vm>~<start>`; holds allotments and leases. */
export type HolderId = string

/**
 * Makes the holder id of a fresh process.
 * @param vm - name of the VM from the settings
 * @param token - something unlike any earlier incarnation, such as a random hex string
 */
export function holderOf (vm: string, token: string): HolderId {
  return `${vm}~${token}`
}

/**
 * The VM name inside a holder id.
 * @param holder - a holder id
 */
export function vmOf (holder: HolderId): string {
  return holder.slice(0, holder.lastIndexOf('~'))
}
