/**
 * HTTP client of the platform's VM list.
 */
import { Left, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpTransport, parseJson } from '../http/httpTransport.js'
import { readFailure, readStatusFailure } from '../http/platformFailure.js'
import { vmListAnswerSchema, type VmList, type VmListAnswer } from './vmListTypes.js'

/** Failure: `platformUnavailable`. */
export class HttpVmList implements VmList {
  private readonly transport: HttpTransport

  /**
   * @param baseUrl - without a trailing slash
   * @param vm - name of this VM, sent as `x-vm`
   * @param timeoutMs - timeout of a whole call
   */
  constructor (private readonly baseUrl: string, vm: string, private readonly timeoutMs: number) {
    this.transport = new HttpTransport({ vm, connectMs: timeoutMs })
  }

  async list (): Promise<Either<Failure, VmListAnswer>> {
    const answer = await this.transport.call({ method: 'GET', url: `${this.baseUrl}/vms`, timeoutMs: this.timeoutMs })
    return answer.mapLeft(error => readFailure(error.detail)).chain(res => {
      if (res.status !== 200) return Left(readStatusFailure(res))
      return parseJson(vmListAnswerSchema, res.body).mapLeft(detail => readFailure(detail))
    })
  }

  /** Closes all connections. */
  close (): void {
    this.transport.close()
  }
}
