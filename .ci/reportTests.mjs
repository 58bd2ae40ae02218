/**
 * Prints the results of a test run and fails on each failure that KNOWN-RED.txt doesn't list. An entry lists a test as
 * `test "FULL TITLE"`; one that passed is printed too, so that it is taken off the list.
 *
 * Usage: node .ci/reportTests.mjs RESULTS KNOWN_RED - results of mocha's JSON reporter, and the list
 */
import { readFileSync } from 'node:fs'

const [resultsFile = '', knownRedFile = ''] = process.argv.slice(2)
const { stats, failures, passes } = JSON.parse(readFileSync(resultsFile, 'utf8'))
const known = new Set([...readFileSync(knownRedFile, 'utf8').matchAll(/^test "(.*?)":/gm)].map(([, title]) => title))

const unexpected = failures.filter(({ fullTitle }) => !known.has(fullTitle))
for (const { fullTitle, err } of failures) console.log(`${known.has(fullTitle) ? 'known red' : 'FAILED'}: ${fullTitle}\n  ${err.message}`)
for (const { fullTitle } of passes) if (known.has(fullTitle)) console.log(`known red, but passed: ${fullTitle}`)
console.log(`${stats.passes} passed, ${unexpected.length} failed, ${failures.length - unexpected.length} known red, ${stats.pending} pending`)
process.exitCode = unexpected.length > 0 || stats.tests === 0 ? 1 : 0
