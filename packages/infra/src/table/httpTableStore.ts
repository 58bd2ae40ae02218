/**
 * HTTP client of the platform's table service. It never retries a transaction: after a lost
 * response only the caller knows how to read back whether the transaction took effect.
 */
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpTransport, parseJson, type HttpAnswer, type TransportError } from '../http/httpTransport.js'
import { unknownOutcomeFailure, readFailure, readStatusFailure, lostWriteFailure, writeStatusFailure } from '../http/platformFailure.js'
import {
  readAnswerSchema, rowKeySchema, scanAnswerSchema, transactAnswerSchema,
  type ReadAnswer, type Row, type RowKey, type ScanAnswer, type ScanRequest, type TableStore, type TransactAnswer, type Transaction
} from './tableTypes.js'

const conflictAnswerSchema = z.object({ conflicts: z.array(rowKeySchema) })

function matchesKey (row: Row | null, key: RowKey | undefined): boolean {
  return row === null || (row.table === key?.table && row.key === key.key)
}

function validateRead (keys: readonly RowKey[], answer: ReadAnswer): Either<string, ReadAnswer> {
  const isValid = answer.rows.length === keys.length && answer.rows.every((row, index) => matchesKey(row, keys[index]))
  return isValid ? Right(answer) : Left('the response does not match the requested keys')
}

function validateScan (req: ScanRequest, answer: ScanAnswer): Either<string, ScanAnswer> {
  const isValid = answer.rows.every(row => row.table === req.table && row.key.startsWith(req.prefix))
  return isValid ? Right(answer) : Left('the response contains rows outside the requested prefix')
}

function toConflictFailure (answer: HttpAnswer): Failure {
  return parseJson(conflictAnswerSchema, answer.body).caseOf({
    Left: detail => unknownOutcomeFailure(`status 409 without a valid list of conflicts: ${detail}`),
    Right: ({ conflicts }) => new Failure('platformConflict', 'a check failed and nothing was written', {
      ran: 'no', errors: conflicts.map(item => `${item.table}/${item.key}`)
    })
  })
}

export class HttpTableStore implements TableStore {
  private readonly transport: HttpTransport

  /**
   * @param baseUrl - without a trailing slash
   * @param vm - name of this VM, sent as `x-vm`
   * @param timeoutMs - timeout of a whole call
   */
  constructor (private readonly baseUrl: string, vm: string, private readonly timeoutMs: number) {
    this.transport = new HttpTransport({ vm, connectMs: timeoutMs })
  }

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    const body = { keys: keys.map(({ table, key }) => ({ table, key })) }
    const answer = await this.query('read', body, readAnswerSchema)
    return answer.chain(read => validateRead(keys, read).mapLeft(detail => readFailure(detail)))
  }

  async scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    const answer = await this.query('scan', req, scanAnswerSchema)
    return answer.chain(scan => validateScan(req, scan).mapLeft(detail => readFailure(detail)))
  }

  async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    const answer = await this.post('transact', tx)
    return answer.mapLeft(lostWriteFailure).chain(res => {
      if (res.status === 409) return Left(toConflictFailure(res))
      if (res.status !== 200) return Left(writeStatusFailure(res))
      return parseJson(transactAnswerSchema, res.body).mapLeft(unknownOutcomeFailure)
    })
  }

  /** Closes all connections. */
  close (): void {
    this.transport.close()
  }

  private async query<T> (operation: string, body: unknown, schema: z.ZodType<T>): Promise<Either<Failure, T>> {
    const answer = await this.post(operation, body)
    return answer.mapLeft(error => readFailure(error.detail)).chain(res => {
      if (res.status !== 200) return Left(readStatusFailure(res))
      return parseJson(schema, res.body).mapLeft(detail => readFailure(detail))
    })
  }

  private post (operation: string, body: unknown): Promise<Either<TransportError, HttpAnswer>> {
    return this.transport.call({
      method: 'POST',
      url: `${this.baseUrl}/table/${operation}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      timeoutMs: this.timeoutMs
    })
  }
}
