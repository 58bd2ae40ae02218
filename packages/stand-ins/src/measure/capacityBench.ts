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

const PROBE_MAIN = fileURLToPath(new URL('./capacity/probeMain.js', import.meta.url))
const LIMIT_MS = 120_000
const MAX_BYTES = 4 * 1024 * 1024
/** Applies to probes that measure only counts and heap. */
const AT_ONCE = 3

const run = promisify(execFile)

export const capacityBench: Measurement = {
  group: 'bench',
  name: 'capacity',
  title: 'slopes of state, messages, processor time and memory of each role, and their value at the target',
  run: async options => {
    const found = new Map<CapacityProbe, readonly ProbePoint[]>()
    const waiting = capacityProbes.filter(probe => !probe.isTimeSensitive)
    const lane = async (): Promise<void> => {
      for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) found.set(next, await pointsOf(next, options))
    }
    await Promise.all(Array.from({ length: AT_ONCE }, lane))
    for (const probe of capacityProbes.filter(item => item.isTimeSensitive)) found.set(probe, await pointsOf(probe, options))
    return fitRows(capacityProbes.flatMap(probe => found.get(probe) ?? []))
  }
}

async function pointsOf (probe: CapacityProbe, { seed }: MeasureOptions): Promise<readonly ProbePoint[]> {
  const { stdout } = await run(process.execPath, ['--expose-gc', PROBE_MAIN, probe.name, seed], { timeout: LIMIT_MS, maxBuffer: MAX_BYTES })
  return stdout.trim().split('\n').map(line => JSON.parse(line) as ProbePoint)
}
