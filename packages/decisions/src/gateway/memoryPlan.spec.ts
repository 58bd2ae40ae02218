/** Guards against bodies and heads of requests that together exceed the memory of the process. */
import { expect } from 'chai'
import { BYTES_PER_MEGABYTE, requestBodyBound, requestHeadBound } from './memoryPlan.js'

const cases: ReadonlyArray<{ readonly name: string, readonly grantedMb: number, readonly answerMb: number, readonly boundMb: number }> = [
  { name: 'a small machine', grantedMb: 200, answerMb: 32, boundMb: 58 / 2.5 },
  { name: 'a large machine', grantedMb: 350, answerMb: 32, boundMb: 208 / 2.5 },
  { name: 'a larger bound of answers', grantedMb: 350, answerMb: 64, boundMb: 176 / 2.5 },
  { name: 'a machine that the rest fills', grantedMb: 150, answerMb: 32, boundMb: 8 }
]

describe('requestBodyBound', () => {
  for (const { name, grantedMb, answerMb, boundMb } of cases) {
    it(`leaves the rest of the memory to bodies on ${name}`, () => {
      const bound = requestBodyBound({ grantedBytes: grantedMb * BYTES_PER_MEGABYTE, answerBytes: answerMb * BYTES_PER_MEGABYTE })
      expect(bound).to.equal(Math.floor(boundMb * BYTES_PER_MEGABYTE))
    })
  }
})

describe('requestHeadBound', () => {
  it('leaves most of the heap to the rest', () => {
    expect(requestHeadBound(120 * BYTES_PER_MEGABYTE)).to.equal(4 * BYTES_PER_MEGABYTE)
  })
})
