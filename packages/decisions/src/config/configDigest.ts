/**
 * Digest of a configuration document, independent of member order. It hashes the digests of the entries, which are
 * cached by entry object, so that a patch only causes its changed entries to be hashed again. Only frozen entries
 * are cached, as any other may still change.
 */
import { createHash } from 'node:crypto'
import type { ConfigDocument } from './configRows.js'

const entryDigests = new WeakMap<object, string>()

/** JSON with the members of every object sorted by name. */
export function canonicalJson (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`
  if (!isObject(value)) return JSON.stringify(value) ?? 'null'
  const members = Object.keys(value).sort().map(key => `${JSON.stringify(key)}:${canonicalJson(value[key])}`)
  return `{${members.join(',')}}`
}

/** Hex SHA-256 of the canonical JSON of a value. */
export function digestOf (value: unknown): string {
  return createHash('sha256').update(canonicalJson(value)).digest('hex')
}

/** Hex SHA-256 of a whole document. */
export function documentDigest (document: ConfigDocument): string {
  const hash = createHash('sha256')
  for (const name of Object.keys(document).sort()) {
    hash.update(`${JSON.stringify(name)}:${sectionText(document[name])}\n`)
  }
  return hash.digest('hex')
}

function sectionText (section: unknown): string {
  if (!isObject(section)) return entryDigest(section)
  const entries = Object.keys(section).sort().map(id => `${JSON.stringify(id)}=${entryDigest(section[id])}`)
  return `{${entries.join(',')}}`
}

function entryDigest (entry: unknown): string {
  if (typeof entry !== 'object' || entry === null) return digestOf(entry)
  const cached = entryDigests.get(entry)
  if (cached !== undefined) return cached
  const digest = digestOf(entry)
  if (Object.isFrozen(entry)) entryDigests.set(entry, digest)
  return digest
}

/** Whether a value is an object other than an array. */
export function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
