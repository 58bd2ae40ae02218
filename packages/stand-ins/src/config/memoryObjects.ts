/**
 * An in-process object store with fault injection.
 */
import { Left, Maybe, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ObjectStore } from '@rosemaryspread/infra/objects/objectTypes.js'

export class MemoryObjects implements ObjectStore {
  /** While true, every call fails and has no effect. */
  outage = false
  readonly objects = new Map<string, Buffer>()

  async get (name: string): Promise<Either<Failure, Maybe<Buffer>>> {
    return this.outage ? unavailable() : Right(Maybe.fromNullable(this.objects.get(name)))
  }

  async put (name: string, body: Buffer): Promise<Either<Failure, void>> {
    if (this.outage) return unavailable()
    this.objects.set(name, body)
    return Right(undefined)
  }
}

function unavailable (): Either<Failure, never> {
  return Left(new Failure('platformUnavailable', 'simulated outage of the object store', { ran: 'no' }))
}
