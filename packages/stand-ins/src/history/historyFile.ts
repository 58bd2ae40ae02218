/**
 * Reads and writes histories as JSON lines; errors carry the line number.
 */
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { historyRecordSchema, type HistoryRecord } from './historyTypes.js'

/**
 * Parses JSON lines; empty lines are skipped.
 * @returns `badRequest` with one error for each malformed line
 */
export function parseHistory (text: string): Either<Failure, readonly HistoryRecord[]> {
  const records: HistoryRecord[] = []
  const errors: string[] = []
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue
    const parsed = parseLine(line)
    if (typeof parsed === 'string') errors.push(`line ${index + 1}: ${parsed}`)
    else records.push(parsed)
  }
  if (errors.length > 0) return Left(new Failure('badRequest', 'The history has malformed lines', { ran: 'no', errors }))
  return Right(records)
}

function parseLine (line: string): HistoryRecord | string {
  try {
    const parsed = historyRecordSchema.safeParse(JSON.parse(line))
    return parsed.success ? parsed.data : z.prettifyError(parsed.error).replaceAll('\n', ' ')
  } catch (err) {
    return String(err)
  }
}

/** Renders records as JSON lines. */
export function renderHistory (records: readonly HistoryRecord[]): string {
  return records.map(record => `${JSON.stringify(record)}\n`).join('')
}
