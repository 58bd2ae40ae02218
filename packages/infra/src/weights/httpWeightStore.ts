/**
 * HTTP client of the weight store. Exceeding its rate limit is a failure with a retry time.
 */
import { Left, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpTransport, parseJson } from '../http/httpTransport.js'
import { readFailure, readStatusFailure } from '../http/platformFailure.js'
import type { WeightInfo, WeightStore } from './weightTypes.js'

const weightInfoSchema = z.object({
  model: z.string(),
  version: z.string(),
  bytes: z.number().int().nonnegative()
})

/** Failures: `notFound`, `platformUnavailable`. */
export class HttpWeightStore implements WeightStore {
  private readonly transport: HttpTransport

  /**
   * @param baseUrl - without a trailing slash
   * @param vm - name of this VM, sent as `x-vm`
   * @param timeoutMs - timeout of a whole call
   */
  constructor (private readonly baseUrl: string, vm: string, private readonly timeoutMs: number) {
    this.transport = new HttpTransport({ vm, connectMs: timeoutMs })
  }

  async describe (model: string, version: string): Promise<Either<Failure, WeightInfo>> {
    const url = `${this.baseUrl}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    const answer = await this.transport.call({ method: 'GET', url, timeoutMs: this.timeoutMs })
    return answer.mapLeft(error => readFailure(error.detail)).chain(res => {
      if (res.status === 404) return Left(new Failure('notFound', `no weights for model ${model} version ${version}`, { ran: 'no' }))
      if (res.status !== 200) return Left(readStatusFailure(res))
      const schema = weightInfoSchema.refine(info => info.model === model && info.version === version, 'weights of a different model or version')
      return parseJson(schema, res.body).mapLeft(detail => readFailure(detail))
    })
  }

  /** Closes all connections. */
  close (): void {
    this.transport.close()
  }
}
