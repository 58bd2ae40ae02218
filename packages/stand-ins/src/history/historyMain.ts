/**
 * Command line that checks history files, whoever recorded them:
 * `node packages/stand-ins/dist/history/historyMain.js FILE...`.
 */
import { readFile } from 'node:fs/promises'
import { checkHistory, renderViolation } from './historyChecker.js'
import { parseHistory } from './historyFile.js'

const EXIT_VIOLATIONS = 1
const EXIT_USAGE = 2

async function checkFile (file: string): Promise<boolean> {
  const parsed = parseHistory(await readFile(file, 'utf8'))
  return parsed.caseOf({
    Left: failure => {
      console.error(`${file}: ${failure.message}\n${failure.errors.join('\n')}`)
      return false
    },
    Right: records => {
      const violations = checkHistory(records)
      for (const violation of violations) console.log(renderViolation(violation))
      console.log(`${file}: ${records.length} records, ${violations.length} broken promises`)
      return violations.length === 0
    }
  })
}

async function main (): Promise<void> {
  const files = process.argv.slice(2)
  if (files.length === 0) {
    console.error('usage: historyMain FILE...')
    process.exit(EXIT_USAGE)
  }
  const verdicts = await Promise.all(files.map(checkFile))
  process.exit(verdicts.every(Boolean) ? 0 : EXIT_VIOLATIONS)
}

await main()
