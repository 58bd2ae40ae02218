/**
 * The part of a URL that belongs to an application service. Only one spelling of each path is
 * let through: `notRepeatable` is matched on the text, so `/x/../dispatch` or `/%64ispatch` must
 * not reach a runner that would read them as `/dispatch`.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

const servicePattern = /^\/v1\/services\/([^/?]+)(\/.*)$/
const encodedUnreserved = /%(?:2d|2e|5f|7e|3[0-9]|[46][1-9a-f]|[57][0-9a])/i
const anyBase = 'http://service.invalid'

/** A service and the path below it. */
export interface ServicePath {
  readonly service: string
  /** Path and query, beginning with `/`. */
  readonly path: string
}

function isNormal (path: string): boolean {
  const [pathname = ''] = path.split('?')
  if (pathname.startsWith('//') || path.includes('#') || encodedUnreserved.test(pathname)) return false
  return new URL(pathname, anyBase).pathname === pathname
}

/**
 * Takes service and path out of a request URL, bytes unchanged. Failures: `notFound`, `badRequest`.
 * @param url - URL of the request
 */
export function servicePath (url: string): Either<Failure, ServicePath> {
  const match = servicePattern.exec(url)
  const [, service, path] = match ?? []
  if (service === undefined || path === undefined) return Left(new Failure('notFound', `${url} is no path of a service`))
  if (!isNormal(path)) return Left(new Failure('badRequest', 'path: use its normal form, without dot segments and needless encoding'))
  return Right({ service, path })
}
