/**
 * Client of the weight store. Going over its rate is a failure with the time to come back.
 */
import { Left, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpTransport, parseJson } from '../http/httpTransport.js'
import { readFailed, readRefused } from '../http/platformFailure.js'
import type { WeightInfo, WeightStore } from './weightTypes.js'

const weightInfoSchema = z.object({
  model: z.string(),
  version: z.string(),
  bytes: z.number().int().nonnegative()
})

/** The weight store over HTTP. Failures: `notFound`, `platformUnavailable`. */
export class HttpWeightStore implements WeightStore {
  private readonly transport: HttpTransport

  /**
   * @param baseUrl - where the store listens, without a slash at the end
   * @param vm - name of this VM
   * @param timeoutMs - milliseconds until a call is given up
   */
  constructor (private readonly baseUrl: string, vm: string, private readonly timeoutMs: number) {
    this.transport = new HttpTransport({ vm, connectMs: timeoutMs })
  }

  async describe (model: string, version: string): Promise<Either<Failure, WeightInfo>> {
    const url = `${this.baseUrl}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    const answer = await this.transport.call({ method: 'GET', url, timeoutMs: this.timeoutMs })
    return answer.mapLeft(lost => readFailed(lost.detail)).chain(res => {
      if (res.status === 404) return Left(new Failure('notFound', `no weights of ${model} ${version}`))
      if (res.status !== 200) return Left(readRefused(res))
      const fits = weightInfoSchema.refine(info => info.model === model && info.version === version, 'other weights than asked')
      return parseJson(fits, res.body).mapLeft(detail => readFailed(detail))
    })
  }

  /** Closes all connections. */
  close (): void {
    this.transport.close()
  }
}
