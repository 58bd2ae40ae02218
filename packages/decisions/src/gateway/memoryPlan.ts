/**
 * Divides the memory of a process among what callers and targets make it hold. The platform ends a process that exceeds its memory, so that each
 * kind of bytes whose amount others choose needs a bound.
 */

export const BYTES_PER_MEGABYTE = 1024 * 1024
/** Memory of a process that serves small requests, with its heap, links and the buffers of its connections, in bytes. */
const BASE_BYTES = 110 * BYTES_PER_MEGABYTE
/** Bytes in use for each byte of a body: the body, chunks that were copied and are not collected yet, and what the system buffers. */
const BYTES_PER_BODY_BYTE = 2.5
/** Smallest bound in bytes. */
const MIN_BODY_BYTES = 8 * BYTES_PER_MEGABYTE

/** Share of the heap for heads of requests. */
const HEADS_SHARE = 0.2
/** Bytes of the heap in use for each byte of a head: what was received, what is sent to the target, its answer and that to the caller. */
const BYTES_PER_HEAD_BYTE = 6

/** Memory of a process, in bytes. */
export interface ProcessMemory {
  readonly grantedBytes: number
  /** Bound of answers that are buffered. */
  readonly answerBytes: number
}

/** Bound of the bodies of requests that are held at the same time, in bytes. */
export function requestBodyBound ({ grantedBytes, answerBytes }: ProcessMemory): number {
  return Math.max(MIN_BODY_BYTES, Math.floor((grantedBytes - BASE_BYTES - answerBytes) / BYTES_PER_BODY_BYTE))
}

/**
 * Bound of the heads of requests that are open at the same time, in bytes.
 * @param heapBytes - limit of the heap of the process
 */
export function requestHeadBound (heapBytes: number): number {
  return Math.floor(heapBytes * HEADS_SHARE / BYTES_PER_HEAD_BYTE)
}
