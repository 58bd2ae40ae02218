/**
 * Formats plain-text tables without colours and borders, so that they can be copied.
 */
import Table from 'cli-table3'

export type Cell = string | number | boolean | null

const noBorders = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  '
}

function formatCell (cell: Cell): string {
  return cell === null ? '-' : String(cell)
}

/**
 * Formats rows under a header.
 * @param rows - values in the order of the columns
 */
export function formatTable (columns: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
  const table = new Table({
    head: [...columns],
    chars: noBorders,
    style: { 'padding-left': 0, 'padding-right': 0, head: [], border: [] }
  })
  table.push(...rows.map((row) => row.map(formatCell)))
  return table.toString().split('\n').map((line) => line.trimEnd()).join('\n')
}

const msPerSecond = 1000
const ageDecimals = 1

/** Formats a duration in seconds. */
export function formatAge (ms: number): string {
  return `${(ms / msPerSecond).toFixed(ageDecimals)} s`
}
