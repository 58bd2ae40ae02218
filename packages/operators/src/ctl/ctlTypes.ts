/**
 * What the parts of `rosemaryspreadctl` share.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AdminClient } from './adminClient.js'

/** The world outside of the program; tests bind their own. */
export interface CtlIo {
  readonly env: Readonly<Record<string, string | undefined>>
  out (text: string): void
  err (text: string): void
  /**
   * Reads a whole file.
   * @param file - path, or `-` for standard input
   */
  read (file: string): Promise<string>
  /** A fresh id for an operation. */
  newId (): string
  /** A fresh secret key. */
  newKey (): string
  /**
   * Waits.
   * @param ms - milliseconds
   */
  pause (ms: number): Promise<void>
}

/** What a command works with. */
export interface CtlSession {
  readonly client: AdminClient
  readonly io: CtlIo
}

/** Result of a command: one value for scripts and one text for people. */
export interface CtlOutput {
  readonly value: unknown
  readonly text: string
}

/** A command with its arguments bound. */
export type CtlAction = (session: CtlSession) => Promise<Either<Failure, CtlOutput>>
