/**
 * Identity of this process: VM name, incarnation and advertised addresses.
 */
import { createHash, randomBytes } from 'node:crypto'
import { readFileSync, readlinkSync } from 'node:fs'
import { holderOf, type HolderId } from '@rosemaryspread/decisions/names/nameTypes.js'
import type { Settings } from '../settings/settingsSchema.js'

const INCARNATION_BYTES = 6

export interface VmIdentity {
  readonly vm: string
  readonly domain: string
  readonly region: string
  readonly holder: HolderId
  /** IPv4:port advertised to callers, operators and peers. */
  readonly callers: string
  readonly operators: string
  readonly peers: string
  /** Hash of boot id, network namespace and peer listen address; undefined where /proc does not provide them. */
  readonly place: string | undefined
}

/** Creates an identity with a new random incarnation. */
export function createIdentity (settings: Settings): VmIdentity {
  const { vm, domain, region, listen, advertise } = settings
  return {
    vm,
    domain,
    region,
    holder: holderOf(vm, randomBytes(INCARNATION_BYTES).toString('hex')),
    callers: advertise.callers ?? listen.callers,
    operators: advertise.operators ?? listen.operators,
    peers: advertise.peers ?? listen.peers,
    place: hashPeerAddress(listen.peers)
  }
}

/** Boot id and network namespace distinguish systems that use the same address. */
function hashPeerAddress (address: string): string | undefined {
  try {
    const bootId = readFileSync('/proc/sys/kernel/random/boot_id', 'utf8').trim()
    const networkNamespace = readlinkSync('/proc/self/ns/net')
    return createHash('sha256').update(`${bootId} ${networkNamespace} ${address}`).digest('hex')
  } catch {
    return undefined
  }
}
