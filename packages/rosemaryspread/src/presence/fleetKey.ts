/**
 * The shared key by which VMs of one fleet authenticate to each other. The first VM that finds none
 * creates it; it is stored in the table service, which only the fleet can read.
 */
import { randomBytes } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

const KEY_ROW = { table: 'keys', key: 'peers' } as const
const KEY_BYTES = 32

const keyRowSchema = z.object({ secret: z.string().min(1) })

/** Reads the key, or creates it. Fails as the table does, with `platformConflict` when another VM created one meanwhile. */
export async function fleetKey (table: TableStore): Promise<Either<Failure, string>> {
  const read = await table.read([KEY_ROW])
  if (read.isLeft()) return read
  const found = read.unsafeCoerce().rows[0]
  if (found === null || found === undefined) return await createKey(table)
  const row = keyRowSchema.safeParse(found.value)
  return row.success ? Right(row.data.secret) : Left(new Failure('internal', 'the stored row of the fleet key is malformed', { ran: 'no' }))
}

async function createKey (table: TableStore): Promise<Either<Failure, string>> {
  const secret = randomBytes(KEY_BYTES).toString('base64')
  const written = await table.transact({ checks: [{ ...KEY_ROW, version: null }], writes: [{ ...KEY_ROW, value: { secret } }] })
  return written.map(() => secret)
}
