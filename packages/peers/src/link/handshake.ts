/**
 * Mutual authentication of a link by HMAC-SHA-256 challenge and response. Each proof covers both holder ids, both nonces and
 * the prover's side, so that it can be neither replayed nor reflected to its author; the key is never sent.
 * Only the handshake is authenticated: later frames are neither encrypted nor signed, so the network between VMs must be private.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Version of the peer protocol; VMs with different versions refuse each other. */
export const PEER_PROTOCOL_VERSION = 1

const NONCE_BYTES = 32
const PROOF_BYTES = 32

const holderSchema = z.string().min(1).max(256)
const nonceSchema = z.instanceof(Uint8Array).refine(bytes => bytes.length === NONCE_BYTES, 'must be 32 bytes long')
const proofSchema = z.instanceof(Uint8Array).refine(bytes => bytes.length === PROOF_BYTES, 'must be 32 bytes long')

/** First frame, sent by the client. */
export const helloSchema = z.object({ kind: z.literal('hello'), protocol: z.literal(PEER_PROTOCOL_VERSION), holder: holderSchema, nonce: nonceSchema })
export type Hello = z.infer<typeof helloSchema>

/** The server's answer: its proof and its nonce. */
export const challengeSchema = z.object({ kind: z.literal('challenge'), holder: holderSchema, nonce: nonceSchema, proof: proofSchema })
export type Challenge = z.infer<typeof challengeSchema>

/** The client's proof. */
export const responseSchema = z.object({ kind: z.literal('response'), proof: proofSchema })
export type Response = z.infer<typeof responseSchema>

/** Last frame of the handshake, sent by the server; calls may follow. */
export const welcomeSchema = z.object({ kind: z.literal('welcome') })

/** The end that creates a proof. */
export type Side = 'client' | 'server'

/** Values exchanged in the handshake, which both proofs cover. */
export interface Transcript {
  readonly clientHolder: string
  readonly serverHolder: string
  readonly clientNonce: Uint8Array
  readonly serverNonce: Uint8Array
}

export function createNonce (): Buffer {
  return randomBytes(NONCE_BYTES)
}

/** Creates proofs with the first fleet key and verifies proofs against all of them. */
export class KeyRing {
  /**
   * @param keys - the first one signs, every one is accepted
   * @throws Failure `settingsInvalid` when there is no key or an empty one
   */
  constructor (private readonly keys: readonly string[]) {
    if (keys.length === 0 || keys.some(key => key === '')) {
      throw new Failure('settingsInvalid', 'peerKeys must contain at least one key and no empty key', { ran: 'no' })
    }
  }

  /** Creates the proof of one side with the first key. */
  prove (side: Side, transcript: Transcript): Buffer {
    return computeProof(this.keys[0]!, side, transcript)
  }

  /** Whether a proof matches one of the keys. Compares all keys in constant time, so that timing reveals no match. */
  verify (side: Side, transcript: Transcript, receivedProof: Uint8Array): boolean {
    let isValid = false
    for (const key of this.keys) {
      const expected = computeProof(key, side, transcript)
      const isMatch = receivedProof.length === expected.length && timingSafeEqual(receivedProof, expected)
      isValid = isValid || isMatch
    }
    return isValid
  }
}

function computeProof (key: string, side: Side, transcript: Transcript): Buffer {
  const fields = [
    `rosemaryspread-peer-${PEER_PROTOCOL_VERSION}`,
    side,
    transcript.clientHolder,
    transcript.serverHolder,
    Buffer.from(transcript.clientNonce).toString('hex'),
    Buffer.from(transcript.serverNonce).toString('hex')
  ]
  return createHmac('sha256', key).update(JSON.stringify(fields)).digest()
}
