/**
 * Memory and descriptors of a process, read from `/proc`.
 */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { join } from 'node:path'

const BYTES_PER_KILOBYTE = 1024
const PEAK_MEMORY = /^VmHWM:\s+(\d+) kB$/m
const NETWORK_DESCRIPTOR = /^(socket|pipe):/

/** Highest resident memory of a process so far, in bytes; NaN if it has ended. */
export function peakMemoryBytes (pid: number): number {
  return Number(PEAK_MEMORY.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) * BYTES_PER_KILOBYTE
}

/** Open sockets and pipes of a process. */
export function networkDescriptors (pid: number): number {
  const folder = `/proc/${pid}/fd`
  return readdirSync(folder).filter(name => isNetworkDescriptor(join(folder, name))).length
}

/** A descriptor that was closed meanwhile is none. */
function isNetworkDescriptor (path: string): boolean {
  try {
    return NETWORK_DESCRIPTOR.test(readlinkSync(path))
  } catch {
    return false
  }
}
