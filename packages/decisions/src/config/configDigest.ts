/**
 * Digest of a configuration document, the same whatever the order of members. It is a digest of
 * the digests of the entries (one team, one runner), which are remembered by entry object: after
 * a patch only the entries it touched are hashed again. Only frozen entries are remembered, as
 * an entry that can still change would make the memory wrong.
 */
import { createHash } from 'node:crypto'
import type { ConfigDocument } from './configRows.js'

const remembered = new WeakMap<object, string>()

/**
 * JSON with the members of every object in order of their names.
 * @param value - any JSON value
 */
export function canonicalJson (value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`
  if (!isObject(value)) return JSON.stringify(value) ?? 'null'
  const members = Object.keys(value).sort().map(key => `${JSON.stringify(key)}:${canonicalJson(value[key])}`)
  return `{${members.join(',')}}`
}

/**
 * Hex SHA-256 of the canonical JSON of a value.
 * @param value - any JSON value
 */
export function digestOf (value: unknown): string {
  return createHash('sha256').update(canonicalJson(value)).digest('hex')
}

/**
 * Digest of a whole document.
 * @param document - the document
 */
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
  const known = remembered.get(entry)
  if (known !== undefined) return known
  const digest = digestOf(entry)
  if (Object.isFrozen(entry)) remembered.set(entry, digest)
  return digest
}

/**
 * Whether a value is an object with named members.
 * @param value - any value
 */
export function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
