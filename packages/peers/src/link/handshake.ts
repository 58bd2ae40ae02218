/**
 * The handshake of a link: HMAC-SHA-256 challenge and response in both directions. Both proofs
 * cover both names, both nonces and the prover's side, so that a proof can be neither replayed
 * nor sent back to its author. The key itself never goes over the wire.
 *
 * A proof authenticates the connection's start; the frames that follow are neither encrypted
 * nor signed, so the network between VMs has to be private.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Version of the protocol between VMs; VMs of different versions refuse each other. */
export const PEER_PROTOCOL = 1

const NONCE_BYTES = 32
const PROOF_BYTES = 32

const holder = z.string().min(1).max(256)
const nonce = z.instanceof(Uint8Array).refine(bytes => bytes.length === NONCE_BYTES, 'wrong length')
const proof = z.instanceof(Uint8Array).refine(bytes => bytes.length === PROOF_BYTES, 'wrong length')

/** First frame of the connecting end. */
export const helloSchema = z.object({ kind: z.literal('hello'), protocol: z.literal(PEER_PROTOCOL), holder, nonce })
export type Hello = z.infer<typeof helloSchema>

/** Answer of the listening end: its own proof and its challenge. */
export const challengeSchema = z.object({ kind: z.literal('challenge'), holder, nonce, proof })
export type Challenge = z.infer<typeof challengeSchema>

/** Proof of the connecting end. */
export const responseSchema = z.object({ kind: z.literal('response'), proof })
export type Response = z.infer<typeof responseSchema>

/** Last frame of the handshake: calls may follow. */
export const welcomeSchema = z.object({ kind: z.literal('welcome') })

/** Which end gives a proof. */
export type Side = 'client' | 'server'

/** What both ends saw of the handshake. */
export interface Transcript {
  readonly clientHolder: string
  readonly serverHolder: string
  readonly clientNonce: Uint8Array
  readonly serverNonce: Uint8Array
}

/** A fresh challenge. */
export function makeNonce (): Buffer {
  return randomBytes(NONCE_BYTES)
}

/** Proves knowledge of a fleet key and checks proofs against every valid key. */
export class KeyRing {
  /**
   * @param keys - the first one signs, every one is accepted
   * @throws Failure `settingsInvalid` when there is no key or an empty one
   */
  constructor (private readonly keys: readonly string[]) {
    if (keys.length === 0 || keys.some(key => key === '')) {
      throw new Failure('settingsInvalid', 'peerKeys needs at least one key and no empty one')
    }
  }

  /**
   * The proof of one end, by the first key.
   * @param side - the end that proves
   * @param transcript - what was exchanged
   */
  prove (side: Side, transcript: Transcript): Buffer {
    return digest(this.keys[0]!, side, transcript)
  }

  /**
   * Whether a proof fits one of the keys; every key is compared, in constant time.
   * @param side - the end that claims to have proved
   * @param transcript - what was exchanged
   * @param given - the proof received
   */
  accepts (side: Side, transcript: Transcript, given: Uint8Array): boolean {
    let found = false
    for (const key of this.keys) {
      const expected = digest(key, side, transcript)
      const same = given.length === expected.length && timingSafeEqual(given, expected)
      found = found || same
    }
    return found
  }
}

function digest (key: string, side: Side, transcript: Transcript): Buffer {
  const parts = [
    `rosemaryspread-peer-${PEER_PROTOCOL}`,
    side,
    transcript.clientHolder,
    transcript.serverHolder,
    Buffer.from(transcript.clientNonce).toString('hex'),
    Buffer.from(transcript.serverNonce).toString('hex')
  ]
  return createHmac('sha256', key).update(JSON.stringify(parts)).digest()
}
