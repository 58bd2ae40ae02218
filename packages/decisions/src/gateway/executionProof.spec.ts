/**
 * Guards against a refusal that is logged as proven although one of its attempts may have been executed.
 */
import { expect } from 'chai'
import type { ExecutionStatus, ResultName } from '../codes/resultCodes.js'
import { attemptProof, refusalProof, type ExecutionProof } from './executionProof.js'

describe('attemptProof', () => {
  const cases: ReadonlyArray<{ readonly code: ResultName, readonly ran: ExecutionStatus, readonly proof: ExecutionProof | undefined }> = [
    { code: 'runnerUnreachable', ran: 'no', proof: 'notConnected' },
    { code: 'runnerRefused', ran: 'no', proof: 'rejected' },
    { code: 'targetReplaced', ran: 'no', proof: 'replaced' },
    { code: 'targetsUnreachable', ran: 'no', proof: 'notRelayed' },
    { code: 'badRequest', ran: 'no', proof: 'notSent' },
    { code: 'runnerUnreachable', ran: 'unknown', proof: undefined },
    { code: 'runnerRefused', ran: 'unknown', proof: undefined },
    { code: 'runnerRefused', ran: 'yes', proof: undefined },
    { code: 'targetsUnreachable', ran: 'unknown', proof: undefined },
    { code: 'answerCut', ran: 'yes', proof: undefined },
    { code: 'overloaded', ran: 'no', proof: undefined },
    { code: 'draining', ran: 'no', proof: undefined },
    { code: 'peerUnreachable', ran: 'no', proof: undefined },
    { code: 'internal', ran: 'no', proof: undefined }
  ]
  for (const { code, ran, proof } of cases) {
    it(`of ${code}, ran ${ran}: ${proof ?? 'none'}`, () => { expect(attemptProof(code, ran)).to.equal(proof) })
  }
})

describe('refusalProof', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly attempts: ReadonlyArray<ExecutionProof | undefined>, readonly proof: ExecutionProof | undefined }> = [
    { name: 'no attempt', attempts: [], proof: 'notSent' },
    { name: 'one proven attempt', attempts: ['rejected'], proof: 'rejected' },
    { name: 'proven attempts', attempts: ['notConnected', 'replaced', 'notRelayed'], proof: 'notRelayed' },
    { name: 'an unproven attempt', attempts: [undefined], proof: undefined },
    { name: 'an unproven attempt before a proven one', attempts: [undefined, 'rejected'], proof: undefined },
    { name: 'an unproven attempt after a proven one', attempts: ['rejected', undefined], proof: undefined }
  ]
  for (const { name, attempts, proof: expected } of cases) {
    it(`after ${name}: ${expected ?? 'none'}`, () => {
      expect(refusalProof(attempts.map(proof => proof === undefined ? {} : { proof }))).to.equal(expected)
    })
  }
})
