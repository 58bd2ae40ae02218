/**
 * Entry point of a VM with one faulty part, for counter-examples only: `faultyVmMain.js PART FILE`.
 */
import { composeVm } from 'rosemaryspread/compose/composeVm.js'
import { ids } from 'rosemaryspread/compose/serviceIds.js'
import { loadSettings } from 'rosemaryspread/settings/settingsLoader.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { faultyParts } from './weak/faultyParts.js'

const EXIT_USAGE = 2

async function main (): Promise<void> {
  const [faultyPart = '', settingsFile = ''] = process.argv.slice(2)
  const bindFaultyPart = faultyParts[faultyPart]
  if (bindFaultyPart === undefined) {
    console.error(`unknown faulty part '${faultyPart}'; use one of: ${Object.keys(faultyParts).join(', ')}`)
    process.exit(EXIT_USAGE)
  }
  const settings = (await loadSettings(settingsFile)).unsafeCoerce()
  let log: EventLog | undefined
  const vm = composeVm(settings, container => {
    log = container.get(ids.log)
    bindFaultyPart(container)
  })
  const stop = (): void => {
    if (faultyPart === 'abruptStop') {
      log?.write('draining', { open: 0 })
      process.exit(0)
    }
    vm.drain().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', stop)
  const started = await vm.start()
  started.unsafeCoerce()
}

await main()
