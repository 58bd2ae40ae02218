/**
 * Who this process is: its VM, its incarnation and the addresses under which others reach it.
 */
import { randomBytes } from 'node:crypto'
import { holderOf, type HolderId } from '@rosemaryspread/decisions/names/nameTypes.js'
import type { Settings } from '../settings/settingsSchema.js'

const INCARNATION_BYTES = 6

/** Identity of one process. */
export interface VmIdentity {
  readonly vm: string
  readonly domain: string
  readonly region: string
  readonly holder: HolderId
  /** IPv4:port told to callers, operators and peers. */
  readonly callers: string
  readonly operators: string
  readonly peers: string
}

/**
 * Makes the identity of a fresh process.
 * @param settings - settings of the VM
 */
export function identityOf (settings: Settings): VmIdentity {
  const { vm, domain, region, listen, advertise } = settings
  return {
    vm,
    domain,
    region,
    holder: holderOf(vm, randomBytes(INCARNATION_BYTES).toString('hex')),
    callers: advertise.callers ?? listen.callers,
    operators: advertise.operators ?? listen.operators,
    peers: advertise.peers ?? listen.peers
  }
}
