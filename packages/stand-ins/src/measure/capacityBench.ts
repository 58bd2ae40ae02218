/**
 * `npm run bench -- capacity`: how the resource use of a VM, the table service, the object store and placement grows with the
 * size of the fleet. Each probe runs in a fresh process; probes that measure processor time run alone, others concurrently.
 */
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { fitRows } from './capacity/capacityFit.js'
import { capacityProbes } from './capacity/probeRegistry.js'
import type { CapacityProbe, ProbePoint } from './capacity/probeTypes.js'
import type { Measurement, MeasureOptions } from './measureTypes.js'

const PROBE_MAIN_PATH = fileURLToPath(new URL('./capacity/probeMain.js', import.meta.url))
const PROBE_TIMEOUT_MS = 120_000
const MAX_OUTPUT_BYTES = 4 * 1024 * 1024
/** Applies to probes that measure only counts and heap. */
const CONCURRENT_PROBES = 3

const execFileAsync = promisify(execFile)

export const capacityBench: Measurement = {
  group: 'bench',
  name: 'capacity',
  title: 'slopes of state, messages, processor time and memory of each role, and their value at the planned scale',
  run: async options => {
    const pointsByProbe = new Map<CapacityProbe, readonly ProbePoint[]>()
    const pending = capacityProbes.filter(probe => !probe.isTimeSensitive)
    const runPending = async (): Promise<void> => {
      for (let next = pending.shift(); next !== undefined; next = pending.shift()) pointsByProbe.set(next, await runProbe(next, options))
    }
    await Promise.all(Array.from({ length: CONCURRENT_PROBES }, runPending))
    for (const probe of capacityProbes.filter(item => item.isTimeSensitive)) pointsByProbe.set(probe, await runProbe(probe, options))
    return fitRows(capacityProbes.flatMap(probe => pointsByProbe.get(probe) ?? []))
  }
}

async function runProbe (probe: CapacityProbe, { seed }: MeasureOptions): Promise<readonly ProbePoint[]> {
  const { stdout } = await execFileAsync(process.execPath, ['--expose-gc', PROBE_MAIN_PATH, probe.name, seed], { timeout: PROBE_TIMEOUT_MS, maxBuffer: MAX_OUTPUT_BYTES })
  return stdout.trim().split('\n').map(line => JSON.parse(line) as ProbePoint)
}
