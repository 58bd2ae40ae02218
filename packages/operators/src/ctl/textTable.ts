/**
 * Tables for people, by cli-table3, without colours and lines so that they can be copied.
 */
import Table from 'cli-table3'

/** A value of a table. */
export type Cell = string | number | boolean | null

const noLines = {
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

function cellText (cell: Cell): string {
  return cell === null ? '-' : String(cell)
}

/**
 * Renders rows under a head.
 * @param head - names of the columns
 * @param rows - values in the order of the head
 */
export function textTable (head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
  const table = new Table({
    head: [...head],
    chars: noLines,
    style: { 'padding-left': 0, 'padding-right': 0, head: [], border: [] }
  })
  table.push(...rows.map((row) => row.map(cellText)))
  return table.toString().split('\n').map((line) => line.trimEnd()).join('\n')
}

const msPerSecond = 1000
const decimals = 1

/**
 * An age as people read it.
 * @param ms - milliseconds
 */
export function ageText (ms: number): string {
  return `${(ms / msPerSecond).toFixed(decimals)} s`
}
