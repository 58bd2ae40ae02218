/**
 * Parses request URLs of application services. Only normalized paths are accepted: `notRepeatable`
 * is matched against the raw path, so `/x/../dispatch` or `/%64ispatch` must not reach a runner
 * that would resolve them to `/dispatch`.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

const servicePattern = /^\/v1\/services\/([^/?]+)(\/.*)$/
const encodedUnreservedPattern = /%(?:2d|2e|5f|7e|3[0-9]|[46][1-9a-f]|[57][0-9a])/i
const placeholderBase = 'http://service.invalid'

export interface ServicePath {
  readonly service: string
  /** Path and query below the service, starting with `/`. */
  readonly path: string
}

function isNormalized (path: string): boolean {
  const [pathname = ''] = path.split('?')
  if (pathname.startsWith('//') || path.includes('#') || encodedUnreservedPattern.test(pathname)) return false
  return new URL(pathname, placeholderBase).pathname === pathname
}

/** Extracts service and path from a request URL without decoding them. Failures: `notFound`, `badRequest`. */
export function parseServicePath (url: string): Either<Failure, ServicePath> {
  const match = servicePattern.exec(url)
  const [, service, path] = match ?? []
  if (service === undefined || path === undefined) return Left(new Failure('notFound', `${url} is not a service path`, { ran: 'no' }))
  if (!isNormalized(path)) return Left(new Failure('badRequest', 'path: must be normalized, without dot segments, empty first segment, fragment or unnecessary percent-encoding', { ran: 'no' }))
  return Right({ service, path })
}
