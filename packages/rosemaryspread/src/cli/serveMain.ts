#!/usr/bin/env node
/**
 * Entry point of the `rosemaryspread` binary: runs one VM, or validates its settings file.
 */
import 'reflect-metadata'
import { readFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { failureOf, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Settings } from '../settings/settingsSchema.js'
import { loadSettings } from '../settings/settingsLoader.js'
import { exitCodes } from './exitCodes.js'

const packageFile = new URL('../../package.json', import.meta.url)

function readVersion (): string {
  const manifest: unknown = JSON.parse(readFileSync(packageFile, 'utf8'))
  return String((manifest as { version: unknown }).version)
}

/** Loads the settings; on invalid settings prints every error and exits. */
async function settingsOrExit (file: string): Promise<Settings> {
  const loaded = await loadSettings(file)
  const failure = failureOf(loaded)
  if (failure !== undefined) exitWith(failure)
  return loaded.unsafeCoerce()
}

function exitWith (failure: Failure): never {
  console.error(`RS-${failure.entry.number} ${failure.entry.title}: ${failure.message}`)
  failure.errors.forEach(line => { console.error(`  ${line}`) })
  process.exit(exitCodes.settingsInvalid)
}

async function checkConfig (file: string): Promise<void> {
  const { vm, domain } = await settingsOrExit(file)
  console.log(`${file}: VM ${vm} in failure domain ${domain}, no mistakes`)
}

async function serve (file: string): Promise<void> {
  const settings = await settingsOrExit(file)
  const { composeVm } = await import('../compose/composeVm.js')
  const vm = composeVm(settings)
  const drainAndExit = (): void => {
    vm.drain()
      .then(clean => process.exit(clean ? exitCodes.ok : exitCodes.drainTimeout))
      .catch(() => process.exit(exitCodes.fault))
  }
  process.once('SIGTERM', drainAndExit)
  process.once('SIGINT', drainAndExit)
  const started = await vm.start()
  started.ifLeft(failure => {
    console.error(`RS-${failure.entry.number} ${failure.entry.title}: ${failure.message}`)
    process.exit(exitCodes.listenFailed)
  })
}

await yargs(hideBin(process.argv))
  .scriptName('rosemaryspread')
  .usage('$0 <command>')
  .command('serve', 'run one VM of the fleet', args => args.option('config', { type: 'string', demandOption: true, describe: 'settings file (YAML)' }), async args => { await serve(args.config) })
  .command('check-config <file>', 'validate a settings file without starting the VM', args => args.positional('file', { type: 'string', demandOption: true, describe: 'settings file (YAML)' }), async args => { await checkConfig(args.file) })
  .demandCommand(1, 'name a command')
  .strict()
  .version(readVersion())
  .help()
  .fail((message, err, args) => {
    console.error(message ?? err?.message)
    args.showHelp()
    process.exit(exitCodes.usage)
  })
  .parseAsync()
