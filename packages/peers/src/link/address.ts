/**
 * Parses VM addresses of the form `IPv4:port`, as used in settings and stored rows.
 */
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/
const MAX_PORT = 65_535

export interface HostPort {
  readonly host: string
  readonly port: number
}

/**
 * Parses `IPv4:port`.
 * @throws Failure `badRequest` when the text has another form
 */
export function parseAddress (address: string): HostPort {
  const match = ADDRESS.exec(address)
  const port = Number(match?.[2])
  if (match === null || port > MAX_PORT) throw new Failure('badRequest', `'${address}' is not IPv4:port`, { ran: 'no' })
  return { host: match[1]!, port }
}
