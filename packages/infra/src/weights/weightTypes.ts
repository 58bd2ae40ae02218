/**
 * Interface of the weight store, from which engines load model weights. The store is rate-limited;
 * a load order above the limit is refused with a retry time.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

export interface WeightInfo {
  readonly model: string
  readonly version: string
  readonly bytes: number
}

export interface WeightStore {
  describe (model: string, version: string): Promise<Either<Failure, WeightInfo>>
}
