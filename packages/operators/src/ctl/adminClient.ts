/**
 * Client of the admin API. Servers are tried in order. Every write carries an id, so a write whose
 * response was lost is sent again, to the next server first.
 */
import { Left, type Either } from 'purify-ts'
import type { z } from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'
import { validate } from '@rosemaryspread/http/input/inputChecks.js'
import { sendOnce, type AdminRequest } from './adminRequest.js'

export interface AdminClientOptions {
  /** Base URLs, tried in order. */
  readonly servers: readonly string[]
  readonly key: string
  readonly timeoutMs: number
  readonly pause: (ms: number) => Promise<void>
}

const maxRounds = 3
const roundPauseMs = 250
const minServerErrorStatus = 500

/** Failures of a single server, after which the next one is tried. */
const retryableOnNextServer: ReadonlySet<ResultName> = new Set<ResultName>([
  'peerUnreachable', 'platformOutcomeUnknown', 'draining', 'configNotLoaded'
])

const permissionFailures: ReadonlySet<ResultName> = new Set<ResultName>(['unauthorized', 'forbidden'])

export class AdminClient {
  constructor (private readonly options: AdminClientOptions) {}

  /** @param path - path and query below the base URL */
  async get<S extends z.ZodType> (path: string, schema: S): Promise<Either<Failure, z.output<S>>> {
    return checkAnswer(schema, await this.send({ method: 'GET', path }))
  }

  /**
   * @param path - path below the base URL
   * @param body - must carry an id by which the server detects a repeated write
   */
  async post<S extends z.ZodType> (path: string, body: unknown, schema: S): Promise<Either<Failure, z.output<S>>> {
    return checkAnswer(schema, await this.send({ method: 'POST', path, body }))
  }

  private async send (req: AdminRequest): Promise<Either<Failure, unknown>> {
    const failures: Failure[] = []
    for (let round = 1; round <= maxRounds; round++) {
      const answer = await this.sendToAny(req, failures)
      if (answer !== undefined) return answer.mapLeft((failure) => withUnknownOutcome(failure, failures))
      if (round === maxRounds || !failures.some(hasUnknownOutcome)) break
      await this.options.pause(round * roundPauseMs)
    }
    return Left(this.toFinalFailure(failures))
  }

  /** Tries each server once and returns the first definite response. */
  private async sendToAny (req: AdminRequest, failures: Failure[]): Promise<Either<Failure, unknown> | undefined> {
    for (const server of this.options.servers) {
      const answer = await sendOnce(server, this.options.key, this.options.timeoutMs, req)
      const failure = answer.swap().toMaybe().extract()
      if (failure === undefined || !retryableOnNextServer.has(failure.code)) return answer
      failures.push(failure)
    }
    return undefined
  }

  private toFinalFailure (failures: readonly Failure[]): Failure {
    const last = failures[failures.length - 1]
    const refusal = failures.some(hasUnknownOutcome) || last?.code === 'peerUnreachable' ? undefined : last
    if (refusal !== undefined) return refusal
    const errors = [...new Set(failures.map((failure) => failure.message))]
    const ran = failures.some(hasUnknownOutcome) ? 'unknown' : 'no'
    return new Failure('peerUnreachable', 'no server responded', { ran, errors })
  }
}

function hasUnknownOutcome (failure: Failure): boolean {
  return failure.ran === 'unknown'
}

/** A refusal after a lost response does not show the outcome of the lost attempt, unless the server compared the id. */
function withUnknownOutcome (failure: Failure, earlier: readonly Failure[]): Failure {
  const isDefinite = failure.entry.status < minServerErrorStatus && !permissionFailures.has(failure.code)
  if (isDefinite || !earlier.some(hasUnknownOutcome)) return failure
  const detail = `${failure.message}; an earlier attempt of this command may have taken effect`
  return new Failure(failure.code, detail, { ran: 'unknown', errors: failure.errors })
}

function checkAnswer<S extends z.ZodType> (schema: S, answer: Either<Failure, unknown>): Either<Failure, z.output<S>> {
  return answer.chain((value) => validate(schema, value, 'answer').mapLeft((errors) =>
    new Failure('internal', 'unexpected response of the server', { ran: 'unknown', errors })))
}
