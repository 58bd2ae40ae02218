/**
 * Renders the tables of result codes and log events for docs/CODES.md and docs/EVENTS.md, and of metrics for docs/METRICS.md.
 */
import { logEvents } from '@rosemaryspread/decisions/events/logEvents.js'
import { metricTable } from '@rosemaryspread/decisions/events/metricTable.js'
import { resultCodes } from '@rosemaryspread/decisions/codes/resultCodes.js'

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
  const rows = Object.entries(resultCodes)
    .sort(([, left], [, right]) => left.number - right.number)
    .map(([name, { number, status, title }]) => `| RS-${number} | \`${name}\` | ${status} | ${title} |`)
  return [
    '# Result codes',
    '',
    'Every refusal and failure carries one of these numbers: in the problem body as `code`, in log lines as `code` by name,',
    'and in what `rosemaryspreadctl` prints. Beside it stands `ran`: `no` means that nothing was run, `yes` that it was,',
    '`unknown` that the system cannot tell. `retryAfterMs` and the header `Retry-After` say when to come back.',
    'Written by `npm run docs:tables` from the code; a test compares the two.',
    '',
    '| number | name | HTTP status | meaning |',
    '|---|---|---|---|',
    ...rows,
    ''
  ].join('\n')
}

function eventsPage (): string {
  const rows = Object.entries(logEvents)
    .sort(([, left], [, right]) => left.number - right.number)
    .map(([name, { number, level, title }]) => `| ${number} | \`${name}\` | ${level} | ${title} |`)
  return [
    '# Log events',
    '',
    'Every log line is one JSON object with `number` and `event` of this table, besides `time`, `vm`, `domain`, `holder` and the',
    'fields named here. Written by `npm run docs:tables` from the code; a test compares the two.',
    '',
    '| number | event | level | when it is written, and its fields |',
    '|---|---|---|---|',
    ...rows,
    ''
  ].join('\n')
}

function metricsPage (): string {
  const rows = Object.entries(metricTable)
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([name, { kind, title }]) => `| \`${name}\` | ${kind} | ${title} |`)
  return [
    '# Metrics',
    '',
    'What a VM serves on the metrics address of its settings, in the Prometheus text format. Each name has the prefix',
    '`rosemaryspread_`; counters end in `_total`, histograms are summaries in milliseconds with the quantiles 0.5, 0.95 and 0.99 and `_count`.',
    'Written by `npm run docs:tables` from the code; a test compares the two.',
    '',
    '| name | kind | what it tells |',
    '|---|---|---|',
    ...rows,
    ''
  ].join('\n')
}
