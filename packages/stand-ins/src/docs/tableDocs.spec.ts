/**
 * Guards against generated pages that are out of date and against duplicate numbers.
 */
import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { logEvents } from '@rosemaryspread/decisions/events/logEvents.js'
import { resultCodes } from '@rosemaryspread/decisions/codes/resultCodes.js'
import { generatedPages } from './tableDocs.js'

const root = new URL('../../../../', import.meta.url)

describe('generated tables', () => {
  for (const { path, text } of generatedPages()) {
    it(`${path} matches the code`, () => {
      expect(readFileSync(new URL(path, root), 'utf8')).to.equal(text)
    })
  }

  const tables = [
    { name: 'result codes', numbers: Object.values(resultCodes).map(({ number }) => number) },
    { name: 'log events', numbers: Object.values(logEvents).map(({ number }) => number) }
  ]
  for (const { name, numbers } of tables) {
    it(`${name} have unique numbers`, () => {
      expect(new Set(numbers).size).to.equal(numbers.length)
    })
  }
})
