/**
 * Runs one probe of the capacity bench and prints its points as JSON lines:
 * `node --expose-gc probeMain.js NAME SEED`.
 */
import { capacityProbes } from './probeRegistry.js'

const EXIT_USAGE = 2

const [name = '', seed = '1'] = process.argv.slice(2)
const probe = capacityProbes.find(item => item.name === name)
if (probe === undefined) {
  console.error(`unknown probe '${name}'; use one of: ${capacityProbes.map(item => item.name).join(', ')}`)
  process.exit(EXIT_USAGE)
}
const points = await probe.run(seed)
process.stdout.write(points.map(point => `${JSON.stringify(point)}\n`).join(''), () => { process.exit(0) })
