/**
 * Who this process is: its VM, its incarnation and the addresses under which others reach it.
 */
import { createHash, randomBytes } from 'node:crypto'
import { readFileSync, readlinkSync } from 'node:fs'
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
  /** Name of the peers' address on this very system; undefined where the system does not tell itself apart. */
  readonly place: string | undefined
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
    peers: advertise.peers ?? listen.peers,
    place: placeOf(listen.peers)
  }
}

/** The boot and the network namespace tell systems apart that have the same addresses. */
function placeOf (address: string): string | undefined {
  try {
    const boot = readFileSync('/proc/sys/kernel/random/boot_id', 'utf8').trim()
    const network = readlinkSync('/proc/self/ns/net')
    return createHash('sha256').update(`${boot} ${network} ${address}`).digest('hex')
  } catch {
    return undefined
  }
}
