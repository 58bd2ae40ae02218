/**
 * HTTP client of the platform's object store.
 */
import { Just, Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpTransport } from '../http/httpTransport.js'
import { readFailure, readStatusFailure, lostWriteFailure, writeStatusFailure } from '../http/platformFailure.js'
import type { ObjectStore } from './objectTypes.js'

export class HttpObjectStore implements ObjectStore {
  private readonly transport: HttpTransport

  /**
   * @param baseUrl - without a trailing slash
   * @param vm - name of this VM, sent as `x-vm`
   * @param timeoutMs - timeout of a whole call
   */
  constructor (private readonly baseUrl: string, vm: string, private readonly timeoutMs: number) {
    this.transport = new HttpTransport({ vm, connectMs: timeoutMs })
  }

  async get (name: string): Promise<Either<Failure, Maybe<Buffer>>> {
    const answer = await this.transport.call({ method: 'GET', url: this.objectUrl(name), timeoutMs: this.timeoutMs })
    return answer.mapLeft(error => readFailure(error.detail)).chain(res => {
      if (res.status === 404) return Right(Nothing)
      return res.status === 200 ? Right(Just(res.body)) : Left(readStatusFailure(res))
    })
  }

  async put (name: string, body: Buffer): Promise<Either<Failure, void>> {
    const headers = { 'content-type': 'application/octet-stream' }
    const answer = await this.transport.call({ method: 'PUT', url: this.objectUrl(name), headers, body, timeoutMs: this.timeoutMs })
    return answer.mapLeft(lostWriteFailure).chain(res => res.status === 204 ? Right(undefined) : Left(writeStatusFailure(res)))
  }

  /** Closes all connections. */
  close (): void {
    this.transport.close()
  }

  private objectUrl (name: string): string {
    return `${this.baseUrl}/objects/${encodeURIComponent(name)}`
  }
}
