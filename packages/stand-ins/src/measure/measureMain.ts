/**
 * Entry point of `npm run measure -- NAME` and `npm run bench -- NAME`. Prints a Markdown table, or with `--json` one JSON
 * object per row.
 */
import yargs from 'yargs'
import { measurements } from './measureRegistry.js'
import type { Measurement, MeasureRow } from './measureTypes.js'

const EXIT_USAGE = 2

/**
 * Renders rows as a Markdown table.
 * @param rows - rows that all have the fields of the first
 */
export function renderTable (rows: readonly MeasureRow[]): string {
  const fields = Object.keys(rows[0] ?? {})
  const renderLine = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`
  const lines = rows.map(row => renderLine(fields.map(field => row[field] ?? '')))
  return [renderLine(fields), renderLine(fields.map(() => '---')), ...lines].join('\n')
}

function findMeasurement (group: string, name: string | undefined): Measurement | undefined {
  return measurements.find(item => item.group === group && item.name === name)
}

async function main (): Promise<void> {
  const [group = 'measure', ...rest] = process.argv.slice(2)
  const args = await yargs(rest)
    .scriptName(`npm run ${group} --`)
    .usage('$0 NAME [options]')
    .option('json', { type: 'boolean', default: false, describe: 'print one JSON object per row' })
    .option('seed', { type: 'string', default: '1', describe: 'seed of the random number generator' })
    .epilogue(measurements.filter(item => item.group === group).map(item => `${item.name}: ${item.title}`).join('\n'))
    .strictOptions()
    .parse()
  const measurement = findMeasurement(group, args._[0]?.toString())
  if (measurement === undefined) {
    const names = measurements.filter(item => item.group === group).map(item => item.name)
    console.error(`unknown ${group} '${args._[0] ?? ''}'; use one of: ${names.join(', ')}`)
    process.exit(EXIT_USAGE)
  }
  const rows = await measurement.run({ seed: args.seed })
  console.log(args.json ? rows.map(row => JSON.stringify(row)).join('\n') : renderTable(rows))
  process.exit(0)
}

await main()
