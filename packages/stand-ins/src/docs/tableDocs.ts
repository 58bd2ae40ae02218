/**
 * Renders the reference pages of result codes, log events and metrics from the code:
 * docs/CODES.md, docs/EVENTS.md and docs/METRICS.md.
 */
import { logEvents } from '@rosemaryspread/decisions/events/logEvents.js'
import { metricTable } from '@rosemaryspread/decisions/events/metricTable.js'
import { resultCodes } from '@rosemaryspread/decisions/codes/resultCodes.js'

const GENERATED_NOTE = 'Generated from the code by `npm run docs:tables`; a test compares the two.'

/** A generated page; `path` is relative to the repository root. */
export interface GeneratedPage {
  readonly path: string
  readonly text: string
}

/** Renders all generated pages. */
export function generatedPages (): GeneratedPage[] {
  return [
    { path: 'docs/CODES.md', text: codesPage() },
    { path: 'docs/EVENTS.md', text: eventsPage() },
    { path: 'docs/METRICS.md', text: metricsPage() }
  ]
}

function codesPage (): string {
  return renderPage({
    title: 'Result codes',
    intro: [
      'Every refusal and failure carries one of these numbers: in the problem body as `code`, in log lines as `code` by name,',
      'and in the output of `rosemaryspreadctl`. The field `ran` beside it is `no` if nothing was run, `yes` if it was, and',
      '`unknown` if the system cannot determine it. `retryAfterMs` and the header `Retry-After` say when to retry.',
      GENERATED_NOTE
    ],
    columns: ['number', 'name', 'HTTP status', 'meaning'],
    rows: Object.entries(resultCodes)
      .sort(([, left], [, right]) => left.number - right.number)
      .map(([name, { number, status, title }]) => [`RS-${number}`, `\`${name}\``, String(status), title])
  })
}

function eventsPage (): string {
  return renderPage({
    title: 'Log events',
    intro: [
      'Every log line is one JSON object with `number` and `event` of this table, `time`, `vm`, `domain`, `holder` and the',
      `fields listed here. ${GENERATED_NOTE}`
    ],
    columns: ['number', 'event', 'level', 'when it is logged, and its fields'],
    rows: Object.entries(logEvents)
      .sort(([, left], [, right]) => left.number - right.number)
      .map(([name, { number, level, title }]) => [String(number), `\`${name}\``, level, title])
  })
}

function metricsPage (): string {
  return renderPage({
    title: 'Metrics',
    intro: [
      'Metrics that a VM exposes on the metrics address of its settings, in the Prometheus text format. Each name has the prefix',
      '`rosemaryspread_`; counters end in `_total`, histograms are summaries in milliseconds with the quantiles 0.5, 0.95 and 0.99 and `_count`.',
      GENERATED_NOTE
    ],
    columns: ['name', 'kind', 'meaning'],
    rows: Object.entries(metricTable)
      .sort(([left], [right]) => left < right ? -1 : 1)
      .map(([name, { kind, title }]) => [`\`${name}\``, kind, title])
  })
}

/** A page with one table. */
interface TablePage {
  readonly title: string
  /** Lines before the table. */
  readonly intro: readonly string[]
  readonly columns: readonly string[]
  readonly rows: ReadonlyArray<readonly string[]>
}

function renderPage ({ title, intro, columns, rows }: TablePage): string {
  const renderRow = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [
    `# ${title}`,
    '',
    ...intro,
    '',
    renderRow(columns),
    `|${'---|'.repeat(columns.length)}`,
    ...rows.map(renderRow),
    ''
  ].join('\n')
}
