/**
 * Command line of `rosemaryspreadctl`. The parser only selects and validates the command; it runs
 * later, so every error raised while parsing is a usage error.
 */
import yargs, { type Argv } from 'yargs'
import { lowerBudget, showBudget, topUpBudget, type TopUpArgs } from './budgetCommands.js'
import { getConfig, patchConfig, showHistory, showStatus } from './configCommands.js'
import type { CtlAction, CtlIo } from './ctlTypes.js'
import { listAddresses, listRunners, listVms } from './fleetCommands.js'
import { createTeam, listTeams } from './teamCommands.js'

/** Receives the selected command. */
export type SelectAction = (action: CtlAction) => void

const defaultTimeoutMs = 10_000
const defaultHistoryLimit = 20
const integerPattern = /^[0-9]{1,15}$/

/** Option that may be repeated or hold several comma-separated values. */
function listOption (describe: string): { type: 'string', describe: string, requiresArg: true, coerce: (value: unknown) => string[] } {
  return { type: 'string', describe, requiresArg: true, coerce: splitList }
}

function splitList (value: unknown): string[] {
  const values = value === undefined ? [] : [value].flat()
  return values.flatMap((text) => String(text).split(',')).map((text) => text.trim()).filter((text) => text !== '')
}

/** Option with a single text value. */
function textOption (name: string, describe: string) {
  const coerce = (value: string | undefined): string | undefined => {
    if (Array.isArray(value)) throw new Error(`--${name} may be given once only`)
    return value
  }
  return { type: 'string', describe, requiresArg: true, coerce } as const
}

function requiredTextOption (name: string, describe: string) {
  const { coerce } = textOption(name, describe)
  return { ...textOption(name, describe), demandOption: true, coerce: (value: string): string => coerce(value) ?? '' } as const
}

/** Option with one whole number; declared as text, since number options of yargs accept `1e3`. */
function integerOption (name: string, describe: string) {
  const coerce = (value: string | undefined): number | undefined => value === undefined ? undefined : parseInteger(name, value)
  return { type: 'string', describe, requiresArg: true, coerce } as const
}

function requiredIntegerOption (name: string, describe: string) {
  return { ...integerOption(name, describe), demandOption: true, coerce: (value: string): number => parseInteger(name, value) } as const
}

function integerOptionWithDefault (name: string, describe: string, value: number) {
  return { ...integerOption(name, describe), default: String(value), coerce: (text: string): number => parseInteger(name, text) } as const
}

function parseInteger (name: string, value: unknown): number {
  if (typeof value !== 'string' || !integerPattern.test(value)) throw new Error(`--${name}: use one whole number of at most 15 digits`)
  return Number(value)
}

/**
 * Builds the parser.
 * @param io - provides environment variables for defaults
 */
export function createCtlParser (io: CtlIo, select: SelectAction) {
  const author = io.env.USER ?? 'rosemaryspreadctl'
  return yargs()
    .scriptName('rosemaryspreadctl')
    .locale('en')
    .parserConfiguration({ 'camel-case-expansion': true, 'parse-numbers': false })
    .option('server', listOption('base URL of an admin API; repeatable, servers are tried in order (RSCTL_SERVER)'))
    .option('key', textOption('key', 'operator key; prefer RSCTL_KEY, which other users of the machine cannot see'))
    .option('output', { choices: ['table', 'json'] as const, default: 'table' as const, describe: 'output format' })
    .option('timeout-ms', integerOptionWithDefault('timeout-ms', 'timeout of one attempt in milliseconds', defaultTimeoutMs))
    .command('config', 'the configuration of the fleet', (args) => addConfigCommands(args, select))
    .command('team', 'teams and their keys', (args) => addTeamCommands(args, select, author))
    .command('budget', 'prepaid budgets', (args) => addBudgetCommands(args, select))
    .command('runner', 'runners', (args) => args
      .command('list', 'all runners', {}, () => select(listRunners)).demandCommand(1, 'name a command'))
    .command('vm', 'VMs', (args) => args
      .command('list', 'all VMs', {}, () => select(listVms)).demandCommand(1, 'name a command'))
    .command('addresses', 'the addresses advertised to callers', {}, () => select(listAddresses))
    .demandCommand(1, 'name a command')
    .strict()
    .exitProcess(false)
    .fail(false)
    .help()
}

function addConfigCommands (args: Argv, select: SelectAction): Argv {
  return args
    .command('get', 'show the configuration in force or of another version', {
      version: integerOption('version', 'version to show (default: the one in force)')
    }, (argv) => select(getConfig(argv.version)))
    .command('patch', 'change the configuration by RFC 6902 operations', {
      file: requiredTextOption('file', 'JSON file with the operations, - for standard input'),
      author: requiredTextOption('author', 'author of the change'),
      base: integerOption('base', 'version that the patch is based on (default: the one in force)'),
      'patch-id': textOption('patch-id', 'id of this change; reuse it when repeating an interrupted command (default: random)'),
      'dry-run': { type: 'boolean', default: false, describe: 'validate without applying' }
    }, (argv) => select(patchConfig({
      file: argv.file,
      author: argv.author,
      base: argv.base,
      patchId: argv['patch-id'],
      dryRun: argv['dry-run']
    })))
    .command('history', 'the latest changes', {
      limit: integerOptionWithDefault('limit', 'maximum number of changes', defaultHistoryLimit)
    }, ({ limit }) => select(showHistory(limit)))
    .command('status', 'configuration version of each VM', {}, () => select(showStatus))
    .demandCommand(1, 'name a command')
    .version(false)
}

function addTeamCommands (args: Argv, select: SelectAction, author: string): Argv {
  return args
    .command('create <id>', 'create a team and show its key once', (sub) => sub
      .positional('id', { type: 'string', demandOption: true })
      .options({
        'display-name': requiredTextOption('display-name', 'human-readable name'),
        budget: requiredTextOption('budget', 'budget that the team draws on'),
        model: listOption('model that the team may use; repeatable'),
        service: listOption('service that the team may use; repeatable'),
        weight: { ...requiredTextOption('weight', 'weight in contended queues'), default: '1' },
        author: { ...requiredTextOption('author', 'author of the change'), default: author }
      }), (argv) => select(createTeam({
      id: argv.id,
      displayName: argv['display-name'],
      budget: argv.budget,
      models: argv.model ?? [],
      services: argv.service ?? [],
      weight: Number(argv.weight),
      author: argv.author
    })))
    .command('list', 'all teams', {}, () => select(listTeams))
    .demandCommand(1, 'name a command')
}

function addTopUpOptions (args: Argv, verb: string) {
  return args
    .positional('budget', { type: 'string', demandOption: true })
    .options({
      tokens: requiredIntegerOption('tokens', `tokens to ${verb}`),
      author: requiredTextOption('author', 'author of the change'),
      'operation-id': textOption('operation-id', 'id of this change; reuse it when repeating an interrupted command (default: random)')
    })
}

function toTopUpArgs (argv: { budget: string, tokens: number, author: string, 'operation-id': string | undefined }): TopUpArgs {
  const { budget, tokens, author } = argv
  return { budget, tokens, author, operationId: argv['operation-id'] }
}

function addBudgetCommands (args: Argv, select: SelectAction): Argv {
  return args
    .command('topup <budget>', 'add paid tokens', (sub) => addTopUpOptions(sub, 'add'), (argv) => select(topUpBudget(toTopUpArgs(argv))))
    .command('lower <budget>', 'remove paid tokens that are neither spent nor allotted', (sub) => addTopUpOptions(sub, 'remove'), (argv) => select(lowerBudget(toTopUpArgs(argv))))
    .command('show <budget>', 'show paid, spent and allotted tokens', (sub) => sub
      .positional('budget', { type: 'string', demandOption: true }), (argv) => select(showBudget(argv.budget)))
    .demandCommand(1, 'name a command')
}
