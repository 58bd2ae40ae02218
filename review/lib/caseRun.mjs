/**
 * Runs one case: records what was sent, answered and run, ends everything that was started, and exits with 0 if the rule held, with 1 if it
 * was broken and with 2 if the case could not run.
 */
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'

const TIME_LIMIT_MS = 115_000

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * Runs a case and ends the process.
 * @param folder - of the case
 * @param play - gets `record`, and `onEnd` for what has to be ended; returns `broken` (texts that say what broke the rule) and `summary`
 */
export async function runCase (folder, play) {
  const startedAt = performance.now()
  const file = createWriteStream(join(folder, 'record.txt'))
  const ends = []
  const record = event => { file.write(`${JSON.stringify({ s: Number(((performance.now() - startedAt) / 1_000).toFixed(3)), ...event })}\n`) }
  let isFinished = false
  const timer = setTimeout(() => { finish('the case took too long', 2) }, TIME_LIMIT_MS)
  const finish = async (text, code) => {
    if (isFinished) return
    isFinished = true
    clearTimeout(timer)
    for (const end of ends.reverse()) await Promise.resolve(end()).catch(() => {})
    record({ what: 'result', text, status: code })
    console.log(text)
    file.end(() => { process.exit(code) })
  }
  for (const event of ['uncaughtException', 'unhandledRejection']) process.on(event, err => { finish(`the case could not run: ${err.stack}`, 2) })
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(`the case was ended by ${signal}`, 2) })
  try {
    const { broken, summary } = await play({ record, onEnd: end => { ends.push(end) } })
    const status = broken.length > 0 ? 1 : 0
    for (const text of broken) record({ what: 'broken', text })
    await finish(`${summary}; ${status === 0 ? 'the rule held' : `the rule was broken ${broken.length} times, first: ${broken[0]}`}`, status)
  } catch (err) {
    await finish(`the case could not run: ${err.stack}`, 2)
  }
}
