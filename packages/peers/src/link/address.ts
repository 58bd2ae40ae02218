/**
 * Addresses of VMs as settings and rows write them.
 */
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/
const MAX_PORT = 65_535

/** Host and port of an address. */
export interface HostPort {
  readonly host: string
  readonly port: number
}

/**
 * Splits `IPv4:port`.
 * @param address - the text
 * @throws Failure `badRequest` when it has another form
 */
export function parseAddress (address: string): HostPort {
  const match = ADDRESS.exec(address)
  const port = Number(match?.[2])
  if (match === null || port > MAX_PORT) throw new Failure('badRequest', `'${address}' is not IPv4:port`)
  return { host: match[1]!, port }
}
