/**
 * Renders the tables of result codes and log events for docs/CODES.md and docs/EVENTS.md, and of metrics for docs/METRICS.md.
 */
import { logEvents } from '@rosemaryspread/decisions/events/logEvents.js'
import { metricTable } from '@rosemaryspread/decisions/events/metricTable.js'
import { resultCodes } from '@rosemaryspread/decisions/codes/resultCodes.js'

const WRITTEN = 'Written by `npm run docs:tables` from the code; a test compares the two.'

/** A generated page: its path from the root and its text. */
export interface GeneratedPage {
  readonly path: string
  readonly text: string
}

/** The pages that have to match the code. */
export function generatedPages (): GeneratedPage[] {
  return [
    { path: 'docs/CODES.md', text: codesPage() },
    { path: 'docs/EVENTS.md', text: eventsPage() },
    { path: 'docs/METRICS.md', text: metricsPage() }
  ]
}

function codesPage (): string {
  return pageOf({
    title: 'Result codes',
    intro: [
      'Every refusal and failure carries one of these numbers: in the problem body as `code`, in log lines as `code` by name,',
      'and in what `rosemaryspreadctl` prints. Beside it stands `ran`: `no` means that nothing was run, `yes` that it was,',
      '`unknown` that the system cannot tell. `retryAfterMs` and the header `Retry-After` say when to come back.',
      WRITTEN
    ],
    columns: ['number', 'name', 'HTTP status', 'meaning'],
    rows: Object.entries(resultCodes)
      .sort(([, left], [, right]) => left.number - right.number)
      .map(([name, { number, status, title }]) => [`RS-${number}`, `\`${name}\``, String(status), title])
  })
}

function eventsPage (): string {
  return pageOf({
    title: 'Log events',
    intro: [
      'Every log line is one JSON object with `number` and `event` of this table, besides `time`, `vm`, `domain`, `holder` and the',
      `fields named here. ${WRITTEN}`
    ],
    columns: ['number', 'event', 'level', 'when it is written, and its fields'],
    rows: Object.entries(logEvents)
      .sort(([, left], [, right]) => left.number - right.number)
      .map(([name, { number, level, title }]) => [String(number), `\`${name}\``, level, title])
  })
}

function metricsPage (): string {
  return pageOf({
    title: 'Metrics',
    intro: [
      'What a VM serves on the metrics address of its settings, in the Prometheus text format. Each name has the prefix',
      '`rosemaryspread_`; counters end in `_total`, histograms are summaries in milliseconds with the quantiles 0.5, 0.95 and 0.99 and `_count`.',
      WRITTEN
    ],
    columns: ['name', 'kind', 'what it tells'],
    rows: Object.entries(metricTable)
      .sort(([left], [right]) => left < right ? -1 : 1)
      .map(([name, { kind, title }]) => [`\`${name}\``, kind, title])
  })
}

/** A page of one table. */
interface TablePage {
  readonly title: string
  /** Lines before the table. */
  readonly intro: readonly string[]
  readonly columns: readonly string[]
  readonly rows: ReadonlyArray<readonly string[]>
}

function pageOf ({ title, intro, columns, rows }: TablePage): string {
  const lineOf = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [
    `# ${title}`,
    '',
    ...intro,
    '',
    lineOf(columns),
    `|${'---|'.repeat(columns.length)}`,
    ...rows.map(lineOf),
    ''
  ].join('\n')
}
