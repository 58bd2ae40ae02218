/**
 * Types shared by the commands of `rosemaryspreadctl`.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AdminClient } from './adminClient.js'

/** Environment, input, output, ids and timers of the process; tests substitute their own. */
export interface CtlIo {
  readonly env: Readonly<Record<string, string | undefined>>
  out (text: string): void
  err (text: string): void
  /**
   * Reads a whole file.
   * @param file - path, or `-` for standard input
   */
  read (file: string): Promise<string>
  /** Generates a unique operation id. */
  newId (): string
  /** Generates a secret key. */
  newKey (): string
  pause (ms: number): Promise<void>
}

export interface CtlSession {
  readonly client: AdminClient
  readonly io: CtlIo
}

/** Result of a command, as JSON value and as text. */
export interface CtlOutput {
  readonly value: unknown
  readonly text: string
}

/** A command with its arguments bound. */
export type CtlAction = (session: CtlSession) => Promise<Either<Failure, CtlOutput>>
