/**
 * The platform's object store as this project uses it: whole objects by name.
 */
import type { Either, Maybe } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** The object store. Failures as for the table service, without conflicts. */
export interface ObjectStore {
  get (name: string): Promise<Either<Failure, Maybe<Buffer>>>
  put (name: string, body: Buffer): Promise<Either<Failure, void>>
}
