/**
 * Whether the digest can be relied on: some VM that passes tables on says every second that it is in
 * touch with them and that the digest is complete. Without that a VM follows the tables itself.
 */
import * as z from 'zod'

/** Milliseconds between two beats of the VM that passes tables on. */
export const DIGEST_BEAT_MS = 1_000
/** Milliseconds without a beat after which the digest is not relied on. */
const SILENT_MS = 2_500
/** Milliseconds for which beats have to come before the digest is relied on again. */
const STEADY_MS = 2_000

/** What a VM says that passes tables on. */
export const digestBeatSchema = z.object({
  beat: z.number().int(),
  /** Whether the digest says all that this VM knows. */
  isComplete: z.boolean()
})
export type DigestBeat = z.infer<typeof digestBeatSchema>

/** Trust of one VM in the digest. Times are monotonic milliseconds. */
export class DigestTrust {
  private steadySince: number | undefined
  private heardAt = -Infinity

  /**
   * Takes a beat that was written just now. Beats that were written before this VM began to read say nothing.
   * @param beat - the beat
   * @param mono - present time
   */
  heard ({ isComplete }: DigestBeat, mono: number): void {
    if (!isComplete) return
    if (mono - this.heardAt > SILENT_MS) this.steadySince = mono
    this.heardAt = mono
  }

  /** Forgets what was heard: the digest could not be read, or holds what cannot be decoded. */
  lost (): void {
    this.heardAt = -Infinity
  }

  /**
   * Milliseconds since the last beat.
   * @param mono - present time
   */
  silentMs (mono: number): number {
    return mono - this.heardAt
  }

  /**
   * Whether the digest can be relied on.
   * @param mono - present time
   */
  isTrusted (mono: number): boolean {
    return this.silentMs(mono) <= SILENT_MS && this.steadySince !== undefined && mono - this.steadySince >= STEADY_MS
  }
}
