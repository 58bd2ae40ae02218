/**
 * Entry point of a VM with one faulty part, for counter-examples only: `faultyVmMain.js PART FILE`.
 */
import { composeVm } from 'rosemaryspread/compose/composeVm.js'
import { ids } from 'rosemaryspread/compose/serviceIds.js'
import { loadSettings } from 'rosemaryspread/settings/settingsLoader.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { weaknesses } from './weak/weaknesses.js'

const EXIT_USAGE = 2

async function main (): Promise<void> {
  const [name = '', file = ''] = process.argv.slice(2)
  const weakness = weaknesses[name]
  if (weakness === undefined) {
    console.error(`unknown faulty part '${name}'; use one of: ${Object.keys(weaknesses).join(', ')}`)
    process.exit(EXIT_USAGE)
  }
  const settings = (await loadSettings(file)).unsafeCoerce()
  let log: EventLog | undefined
  const vm = composeVm(settings, container => {
    log = container.get(ids.log)
    weakness(container)
  })
  const stop = (): void => {
    if (name === 'abruptStop') {
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
