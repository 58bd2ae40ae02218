/**
 * Measures memory and processor time of this process and of its child processes.
 */
import { readFile } from 'node:fs/promises'

const TICK_MS = 10
const PAGE_BYTES = 4_096
const UTIME_FIELD = 11
const STIME_FIELD = 12
const BYTES_PER_MB = 1024 * 1024
const US_PER_MS = 1_000

/** Bytes of heap in use after garbage collection; needs `--expose-gc`. */
export function heapAfterGc (): number {
  for (let pass = 0; pass < 4; pass++) globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

/** Builds a value and measures the heap bytes that it retains. */
export function measureHeap<T> (build: () => T): { readonly retained: T, readonly bytes: number } {
  const before = heapAfterGc()
  const retained = build()
  return { retained, bytes: heapAfterGc() - before }
}

/**
 * Median, the upper one for an even number of values.
 * @param values - at least one
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other)
  return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

/** Processor microseconds that this process spends on some work. */
export async function processorUs (work: () => Promise<void> | void): Promise<number> {
  const before = process.cpuUsage()
  await work()
  const used = process.cpuUsage(before)
  return used.user + used.system
}

/** Reads processor time and memory of a process from `/proc`. */
export class ProcessMeter {
  constructor (readonly pid: number) {}

  /** Processor milliseconds of all its threads, in user and system mode. */
  async processorMs (): Promise<number> {
    const stat = await readFile(`/proc/${this.pid}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    return (Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD])) * TICK_MS
  }

  async residentMb (): Promise<number> {
    const [, resident = '0'] = (await readFile(`/proc/${this.pid}/statm`, 'utf8')).split(' ')
    return Number(resident) * PAGE_BYTES / BYTES_PER_MB
  }
}

/** Finds the child of this process whose command line contains a text. */
export async function findChildProcess (text: string): Promise<ProcessMeter> {
  const children = await readFile(`/proc/${process.pid}/task/${process.pid}/children`, 'utf8')
  for (const pid of children.trim().split(' ')) {
    const command = await readFile(`/proc/${pid}/cmdline`, 'utf8').catch(() => '')
    if (command.includes(text)) return new ProcessMeter(Number(pid))
  }
  throw new Error(`no child process with '${text}' in its command line`)
}

/**
 * Processor microseconds of one call, as the median of several rounds.
 * @param calls - calls per round
 * @param rounds - rounds counted, after one that warms up
 */
export async function usPerCall (calls: number, rounds: number, work: (index: number) => Promise<unknown> | unknown): Promise<number> {
  const samples: number[] = []
  for (let round = 0; round <= rounds; round++) {
    const us = await processorUs(async () => {
      for (let index = 0; index < calls; index++) await work(index)
    })
    if (round > 0) samples.push(us / calls)
  }
  return median(samples)
}

export async function delay (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

export { US_PER_MS }
