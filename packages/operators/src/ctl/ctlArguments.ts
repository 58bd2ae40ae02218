/**
 * The command line of `rosemaryspreadctl`: yargs chooses the command and checks its shape; the
 * command itself runs later, so that whatever goes wrong here is a usage error.
 */
import yargs, { type Argv } from 'yargs'
import { lowerBudget, showBudget, topUpBudget, type TopUpArgs } from './budgetCommands.js'
import { getConfig, patchConfig, showHistory, showStatus } from './configCommands.js'
import type { CtlAction, CtlIo } from './ctlTypes.js'
import { listAddresses, listRunners, listVms } from './fleetCommands.js'
import { createTeam, listTeams } from './teamCommands.js'

/** Takes the chosen command. */
export type Choose = (action: CtlAction) => void

const defaultTimeoutMs = 10_000
const defaultHistoryLimit = 20
const wholePattern = /^[0-9]{1,15}$/

/** An option that may be repeated, or hold several values with commas between them. */
function listOption (describe: string): { type: 'string', describe: string, requiresArg: true, coerce: (value: unknown) => string[] } {
  return { type: 'string', describe, requiresArg: true, coerce: splitList }
}

function splitList (value: unknown): string[] {
  const values = value === undefined ? [] : [value].flat()
  return values.flatMap((text) => String(text).split(',')).map((text) => text.trim()).filter((text) => text !== '')
}

/** An option that takes one text. */
function text (name: string, describe: string) {
  const coerce = (value: string | undefined): string | undefined => {
    if (Array.isArray(value)) throw new Error(`--${name} may be given once only`)
    return value
  }
  return { type: 'string', describe, requiresArg: true, coerce } as const
}

/** A {@link text} that must be given. */
function neededText (name: string, describe: string) {
  const { coerce } = text(name, describe)
  return { ...text(name, describe), demandOption: true, coerce: (value: string): string => coerce(value) ?? '' } as const
}

/** An option that takes one whole number; kept as text by yargs, whose numbers allow `1e3`. */
function whole (name: string, describe: string) {
  const coerce = (value: string | undefined): number | undefined => value === undefined ? undefined : wholeNumber(name, value)
  return { type: 'string', describe, requiresArg: true, coerce } as const
}

/** A {@link whole} that must be given. */
function neededWhole (name: string, describe: string) {
  return { ...whole(name, describe), demandOption: true, coerce: (value: string): number => wholeNumber(name, value) } as const
}

/** A {@link whole} with a default. */
function wholeOr (name: string, describe: string, value: number) {
  return { ...whole(name, describe), default: String(value), coerce: (text: string): number => wholeNumber(name, text) } as const
}

function wholeNumber (name: string, value: unknown): number {
  if (typeof value !== 'string' || !wholePattern.test(value)) throw new Error(`--${name}: use one whole number`)
  return Number(value)
}

/**
 * Builds the parser.
 * @param io - environment for defaults
 * @param choose - takes the chosen command
 */
export function ctlParser (io: CtlIo, choose: Choose) {
  const author = io.env.USER ?? 'rosemaryspreadctl'
  return yargs()
    .scriptName('rosemaryspreadctl')
    .locale('en')
    .parserConfiguration({ 'camel-case-expansion': true, 'parse-numbers': false })
    .option('server', listOption('base URL of an admin API; repeat it for more servers, tried in order (RSCTL_SERVER)'))
    .option('key', text('key', 'operator key; better in RSCTL_KEY, where others on the machine do not see it'))
    .option('output', { choices: ['table', 'json'] as const, default: 'table' as const, describe: 'form of the output' })
    .option('timeout-ms', wholeOr('timeout-ms', 'milliseconds for one attempt', defaultTimeoutMs))
    .command('config', 'the configuration of the fleet', (args) => configCommands(args, choose))
    .command('team', 'teams and their keys', (args) => teamCommands(args, choose, author))
    .command('budget', 'prepaid budgets', (args) => budgetCommands(args, choose))
    .command('runner', 'runners', (args) => args
      .command('list', 'all runners', {}, () => choose(listRunners)).demandCommand(1, 'name a command'))
    .command('vm', 'VMs', (args) => args
      .command('list', 'all VMs', {}, () => choose(listVms)).demandCommand(1, 'name a command'))
    .command('addresses', 'the addresses that callers are told', {}, () => choose(listAddresses))
    .demandCommand(1, 'name a command')
    .strict()
    .exitProcess(false)
    .fail(false)
    .help()
}

function configCommands (args: Argv, choose: Choose): Argv {
  return args
    .command('get', 'show the version in force or another one', {
      version: whole('version', 'a version')
    }, (argv) => choose(getConfig(argv.version)))
    .command('patch', 'change the configuration by RFC 6902 operations', {
      file: neededText('file', 'file with the operations as JSON, - for standard input'),
      author: neededText('author', 'who changes it'),
      base: whole('base', 'version that the patch is based on (default: the one in force)'),
      'patch-id': text('patch-id', 'id of this change; repeat a broken-off command with the same id (default: random)'),
      'dry-run': { type: 'boolean', default: false, describe: 'only check' }
    }, (argv) => choose(patchConfig({
      file: argv.file,
      author: argv.author,
      base: argv.base,
      patchId: argv['patch-id'],
      dryRun: argv['dry-run']
    })))
    .command('history', 'the last changes', {
      limit: wholeOr('limit', 'changes at most', defaultHistoryLimit)
    }, ({ limit }) => choose(showHistory(limit)))
    .command('status', 'which VM has which version', {}, () => choose(showStatus))
    .demandCommand(1, 'name a command')
    .version(false)
}

function teamCommands (args: Argv, choose: Choose, author: string): Argv {
  return args
    .command('create <id>', 'create a team and show its key once', (sub) => sub
      .positional('id', { type: 'string', demandOption: true })
      .options({
        'display-name': neededText('display-name', 'name for people'),
        budget: neededText('budget', 'budget that the team draws on'),
        model: listOption('model that it may use; repeat it for more'),
        service: listOption('service that it may use; repeat it for more'),
        weight: { ...neededText('weight', 'share of contended queues'), default: '1' },
        author: { ...neededText('author', 'who creates it'), default: author }
      }), (argv) => choose(createTeam({
      id: argv.id,
      displayName: argv['display-name'],
      budget: argv.budget,
      models: argv.model ?? [],
      services: argv.service ?? [],
      weight: Number(argv.weight),
      author: argv.author
    })))
    .command('list', 'all teams', {}, () => choose(listTeams))
    .demandCommand(1, 'name a command')
}

function topUpOptions (args: Argv, verb: string) {
  return args
    .positional('budget', { type: 'string', demandOption: true })
    .options({
      tokens: neededWhole('tokens', `tokens to ${verb}`),
      author: neededText('author', 'who does it'),
      'operation-id': text('operation-id', 'id of this change; repeat a broken-off command with the same id (default: random)')
    })
}

function topUpArgs (argv: { budget: string, tokens: number, author: string, 'operation-id': string | undefined }): TopUpArgs {
  const { budget, tokens, author } = argv
  return { budget, tokens, author, operationId: argv['operation-id'] }
}

function budgetCommands (args: Argv, choose: Choose): Argv {
  return args
    .command('topup <budget>', 'add paid tokens', (sub) => topUpOptions(sub, 'add'), (argv) => choose(topUpBudget(topUpArgs(argv))))
    .command('lower <budget>', 'take back tokens that are neither spent nor allotted', (sub) => topUpOptions(sub, 'take back'), (argv) => choose(lowerBudget(topUpArgs(argv))))
    .command('show <budget>', 'what is paid, spent and held', (sub) => sub
      .positional('budget', { type: 'string', demandOption: true }), (argv) => choose(showBudget(argv.budget)))
    .demandCommand(1, 'name a command')
}
