/**
 * Guards against exit codes that are missing from the documentation.
 */
import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { exitCodes } from './exitCodes.js'

const operatorsPage = new URL('../../../../docs/OPERATORS.md', import.meta.url)

describe('exit codes of rosemaryspreadctl', () => {
  it('are all listed in docs/OPERATORS.md', () => {
    const rows = [...readFileSync(operatorsPage, 'utf8').matchAll(/^\| (\d+) \| \S.* \|$/gm)]
    expect(rows.map(([, code]) => Number(code))).to.deep.equal(Object.values(exitCodes))
  })
})
