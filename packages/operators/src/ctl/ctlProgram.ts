/**
 * Runs a `rosemaryspreadctl` command: parses arguments, calls the admin API, prints the result and returns the exit code.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { AdminClient } from './adminClient.js'
import { createCtlParser } from './ctlArguments.js'
import type { CtlAction, CtlIo, CtlOutput } from './ctlTypes.js'
import { exitCodeOf, exitCodes } from './exitCodes.js'

/** Options common to all commands. */
interface GlobalArgs {
  readonly server?: readonly string[]
  readonly key?: string
  readonly output: 'table' | 'json'
  readonly timeoutMs: number
}

interface ParsedCommand {
  readonly globals: GlobalArgs
  /** Absent for `--help` and `--version`. */
  readonly action?: CtlAction
}

const jsonIndent = 2

/**
 * Runs one command and resolves to its exit code.
 * @param args - arguments after the program name
 */
export async function runCtl (args: readonly string[], io: CtlIo): Promise<number> {
  const parsed = await parse(args, io)
  if (parsed.isLeft()) return fail(io, parsed.extract())
  const { action, globals } = parsed.unsafeCoerce()
  if (action === undefined) return exitCodes.ok
  const client = createClient(globals, io)
  if (client.isLeft()) return fail(io, client.extract())
  const outcome = await action({ client: client.unsafeCoerce(), io })
  return outcome.caseOf({
    Left: (failure) => fail(io, failure),
    Right: (output) => print(io, globals, output)
  })
}

async function parse (args: readonly string[], io: CtlIo): Promise<Either<Failure, ParsedCommand>> {
  let action: CtlAction | undefined
  const parser = createCtlParser(io, (selected) => { action = selected })
  try {
    const argv = await parser.parseAsync([...args], {}, (_err, _argv, output) => {
      if (output !== '') io.out(output)
    })
    return Right({ globals: argv as unknown as GlobalArgs, ...(action === undefined ? {} : { action }) })
  } catch (err) {
    return Left(toUsageFailure((err as Error).message))
  }
}

/** Messages of yargs may have several lines: a summary, then one line for each invalid argument. */
function toUsageFailure (message: string): Failure {
  const [detail = '', ...errors] = message.split('\n').map((line) => line.trim()).filter((line) => line !== '')
  return new Failure('usage', `${detail.replace(/:$/, '')} (see --help)`, { ran: 'no', errors })
}

function createClient ({ server, key, timeoutMs }: GlobalArgs, io: CtlIo): Either<Failure, AdminClient> {
  const serverNames = server ?? io.env.RSCTL_SERVER?.split(',').map((name) => name.trim()).filter((name) => name !== '') ?? []
  const servers = serverNames.map(parseBaseUrl)
  const invalidNames = serverNames.filter((_, index) => servers[index] === undefined)
  const operatorKey = key ?? io.env.RSCTL_KEY ?? ''
  if (timeoutMs === 0) return Left(toUsageFailure('--timeout-ms: use at least 1'))
  if (servers.length === 0) return Left(toUsageFailure('no server given: use --server or RSCTL_SERVER'))
  if (invalidNames.length > 0) return Left(toUsageFailure(`no base URL: ${invalidNames.join(', ')}`))
  if (operatorKey === '') return Left(toUsageFailure('no key given: use RSCTL_KEY or --key'))
  const urls = servers.filter((url) => url !== undefined)
  return Right(new AdminClient({ servers: urls, key: operatorKey, timeoutMs, pause: (ms) => io.pause(ms) }))
}

/** Normalizes a server URL; `IPv4:port` without a scheme means http. Undefined if invalid. */
function parseBaseUrl (name: string): string | undefined {
  const text = /^https?:\/\//.test(name) ? name : `http://${name}`
  return URL.canParse(text) ? text.replace(/\/+$/, '') : undefined
}

function print (io: CtlIo, { output }: GlobalArgs, { value, text }: CtlOutput): number {
  io.out(output === 'json' ? JSON.stringify(value, null, jsonIndent) : text)
  return exitCodes.ok
}

function fail (io: CtlIo, failure: Failure): number {
  io.err(`RS-${failure.entry.number} ${failure.entry.title}: ${failure.message}`)
  for (const line of additionalErrors(failure)) io.err(`  ${line}`)
  return exitCodeOf(failure)
}

/** Individual errors, except a single one that the message contains already. */
function additionalErrors ({ errors, message }: Failure): readonly string[] {
  const [singleError] = errors
  return errors.length === 1 && singleError !== undefined && message.includes(singleError) ? [] : errors
}
