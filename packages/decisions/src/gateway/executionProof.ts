/**
 * What shows that a request was not executed: the proof of one failed attempt, and of a refusal after several.
 */
import * as z from 'zod'
import { executionStatusSchema, resultCodes, type ExecutionStatus, type ResultName } from '../codes/resultCodes.js'

export const executionProofSchema = z.enum([
  /** No attempt was made. */
  'notSent',
  /** No connection to the target was made. */
  'notConnected',
  /** The target stated that it did not execute the request. */
  'rejected',
  /** Another process at the address of the target stated it. */
  'replaced',
  /** The path to the targets is lost, and no other VM sent the request. */
  'notRelayed'
])
export type ExecutionProof = z.infer<typeof executionProofSchema>

const resultNameSchema = z.custom<ResultName>(name => typeof name === 'string' && Object.hasOwn(resultCodes, name))

/** One attempt at a target, as logged with the failure of its request. */
export const attemptRecordSchema = z.object({
  runner: z.string(),
  /** Absent while the outcome is not known. */
  code: resultNameSchema.optional(),
  ran: executionStatusSchema,
  proof: executionProofSchema.optional(),
  /** Milliseconds from the receipt of the request to the start of the attempt. */
  sentMs: z.number().int(),
  /** Milliseconds from the start of the attempt to its end. */
  ms: z.number().int()
})
export type AttemptRecord = z.infer<typeof attemptRecordSchema>

/** Failures of an attempt that come with a proof where they state that the request was not executed. */
const proofs: Readonly<Partial<Record<ResultName, ExecutionProof>>> = {
  badRequest: 'notSent',
  runnerUnreachable: 'notConnected',
  runnerRefused: 'rejected',
  targetReplaced: 'replaced',
  targetsUnreachable: 'notRelayed'
}

/** What shows that a failed attempt did not execute its request; undefined if nothing does. */
export function attemptProof (code: ResultName, ran: ExecutionStatus): ExecutionProof | undefined {
  return ran === 'no' ? proofs[code] : undefined
}

/** What shows that a request was not executed after its attempts: the proof of the latest one, or undefined if any has none. */
export function refusalProof (attempts: ReadonlyArray<Pick<AttemptRecord, 'proof'>>): ExecutionProof | undefined {
  const latest = attempts.at(-1)
  if (latest === undefined) return 'notSent'
  return attempts.every(({ proof }) => proof !== undefined) ? latest.proof : undefined
}
