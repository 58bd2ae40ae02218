/**
 * The weight store: where engines take model weights from. It is rate-limited; a load order that
 * exceeds the rate is refused with the time to come back.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** What the store knows of one set of weights. */
export interface WeightInfo {
  readonly model: string
  readonly version: string
  readonly bytes: number
}

/** The weight store. */
export interface WeightStore {
  describe (model: string, version: string): Promise<Either<Failure, WeightInfo>>
}
