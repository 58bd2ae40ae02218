/**
 * Command line of all stand-ins for external systems, one process each. Prints one line of JSON
 * once it listens and stops on SIGTERM.
 */
import yargs, { type Argv } from 'yargs'
import { hideBin } from 'yargs/helpers'
import { applicationDefinition } from '../application/applicationRoutes.js'
import type { PortAddress } from '../control/httpPort.js'
import { StandIn, type StandInAddresses, type StandInDefinition } from '../control/standIn.js'
import { engineDefinition } from '../engine/engineDefinition.js'
import { HttpWeightSource, LocalWeightSource } from '../engine/weightSource.js'
import { objectStoreDefinition } from '../objects/objectRoutes.js'
import { tableDefinition } from '../table/tableRoutes.js'
import { vmListDefinition } from '../vmList/vmListRoutes.js'
import { weightStoreDefinition } from '../weights/weightRoutes.js'

const DEFAULT_CACHE_EVENT_LOSS = 0.05
const DEFAULT_CACHE_TOKENS = 100_000

const addressOptions = {
  listen: { type: 'string', demandOption: true, describe: 'IPv4:port to serve on; port 0 picks a free one', coerce: parseAddress },
  control: { type: 'string', demandOption: true, describe: 'IPv4:port of the control port', coerce: parseAddress }
} as const

const rateOptions = {
  'per-minute': { type: 'number', default: 30, describe: 'weight fetches per minute' },
  burst: { type: 'number', default: 10, describe: 'weight fetches allowed in a burst' }
} as const

const engineOptions = {
  name: { type: 'string', demandOption: true, describe: 'runner id as in the configuration' },
  domain: { type: 'string', default: '', describe: 'failure domain, for the printed line only' },
  models: { type: 'string', default: '', describe: 'loaded models, comma-separated, as model or model@version' },
  slots: { type: 'number', default: 16, describe: 'runs decoded at once' },
  'ms-per-token': { type: 'number', default: 20, describe: 'milliseconds per generated token of a run that is alone in its batch' },
  'prompt-ms-per-token': { type: 'number', default: 0.2, describe: 'milliseconds per uncached prompt token' },
  'checks-fencing': { type: 'boolean', default: true, describe: 'reject orders with a stale fencing number' },
  'load-lag-ms': { type: 'number', default: 500, describe: 'age of the load report' },
  'cache-event-lag-ms': { type: 'number', default: 1000, describe: 'delay of cache events' },
  'cache-event-loss': { type: 'number', default: DEFAULT_CACHE_EVENT_LOSS, describe: 'share of cache events lost, 0 to 1' },
  'cache-tokens': { type: 'number', default: DEFAULT_CACHE_TOKENS, describe: 'capacity of the prefix cache, in tokens' },
  weights: { type: 'string', describe: 'base URL of the weight store; without it the engine applies the rate limit below itself' },
  seed: { type: 'string', default: '1', describe: 'seed for choosing lost cache events' },
  ...rateOptions
} as const

const applicationOptions = {
  name: { type: 'string', demandOption: true, describe: 'runner id as in the configuration' },
  service: { type: 'string', demandOption: true, describe: 'service id as in the configuration' },
  'delay-ms': { type: 'number', default: 5, describe: 'duration of one call in milliseconds' }
} as const

function parseAddress (text: string): PortAddress {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(text)
  if (match === null) throw new Error(`'${text}' is not an IPv4:port`)
  return { host: match[1]!, port: Number(match[2]) }
}

/** Rejects NaN and negative values; the error names every such option. */
function requireNonNegative (args: Readonly<Record<string, unknown>>): true {
  const invalid = Object.entries(args).filter(([name, value]) => !/[A-Z]/.test(name) && typeof value === 'number' && !(value >= 0))
  if (invalid.length > 0) throw new Error(`options must be non-negative numbers: ${invalid.map(([name]) => `--${name}`).join(', ')}`)
  return true
}

function splitList (text: string): readonly string[] {
  return text.split(',').map(item => item.trim()).filter(item => item !== '')
}

async function startStandIn (kind: string, addresses: StandInAddresses, definition: StandInDefinition, labels: Readonly<Record<string, string>> = {}): Promise<void> {
  const standIn = new StandIn(addresses, definition)
  const { listen, control } = await standIn.start()
  const formatAddress = ({ host, port }: PortAddress): string => `${host}:${port}`
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => stopAndExit(standIn))
  console.log(JSON.stringify({ ready: true, kind, ...labels, listen: formatAddress(listen), control: formatAddress(control) }))
}

function stopAndExit (standIn: StandIn): void {
  standIn.stop().then(() => process.exit(0), () => process.exit(1))
}

function createWeightSource (args: { weights?: string, name: string, perMinute: number, burst: number }): HttpWeightSource | LocalWeightSource {
  if (args.weights !== undefined) return new HttpWeightSource(args.weights, args.name)
  return new LocalWeightSource(args.perMinute, args.burst)
}

function addStoreCommands (argv: Argv): Argv {
  return argv
    .command('table', 'the transactional table service', builder => builder.options(addressOptions), async args => await startStandIn('table', args, tableDefinition()))
    .command('objects', 'the object store', builder => builder.options(addressOptions), async args => await startStandIn('objects', args, objectStoreDefinition()))
    .command('weights', 'the weight store', builder => builder.options(addressOptions).options(rateOptions)
      .option('sets', { type: 'string', default: '', describe: 'existing weight sets as model@version, comma-separated; all when empty' }),
    async args => await startStandIn('weights', args, weightStoreDefinition({ ...args, sets: splitList(args.sets) })))
    .command('vm-list', 'the list of VMs', builder => builder.options(addressOptions)
      .option('lag-ms', { type: 'number', default: 2000, describe: 'delay in milliseconds before a change becomes visible' }),
    async args => await startStandIn('vm-list', args, vmListDefinition(args.lagMs)))
}

function addRunnerCommands (argv: Argv): Argv {
  return argv
    .command('engine', 'a model engine', builder => builder.options(addressOptions).options(engineOptions), async args => {
      const cache = { capacity: args.cacheTokens, eventLagMs: args.cacheEventLagMs, eventLoss: args.cacheEventLoss }
      const definition = engineDefinition({ ...args, models: splitList(args.models), cache }, args.seed, createWeightSource(args))
      await startStandIn('engine', args, definition, { name: args.name, domain: args.domain })
    })
    .command('application', 'an application runner', builder => builder.options(addressOptions).options(applicationOptions), async args => {
      await startStandIn('application', args, applicationDefinition({ name: args.name, service: args.service, delayMs: args.delayMs }), { name: args.name, service: args.service })
    })
}

await addRunnerCommands(addStoreCommands(yargs(hideBin(process.argv)).scriptName('standIn')))
  .demandCommand(1, 'specify a stand-in')
  .check(requireNonNegative)
  .strict()
  .parseAsync()
