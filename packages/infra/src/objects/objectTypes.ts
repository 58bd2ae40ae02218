/**
 * Interface of the platform's object store: whole objects by name.
 */
import type { Either, Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Failures as of the table service, except `platformConflict`. */
export interface ObjectStore {
  get (name: string): Promise<Either<Failure, Maybe<Buffer>>>
  put (name: string, body: Buffer): Promise<Either<Failure, void>>
}
