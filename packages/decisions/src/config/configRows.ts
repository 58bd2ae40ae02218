/**
 * What is kept of the configuration outside the VMs: rows of the table service and objects of
 * the object store. A version row carries the difference to the version before, never the whole
 * configuration, so that a row stays small whatever the number of teams; whole configurations
 * are snapshot objects, named by version and digest.
 */
import * as z from 'zod'

/** Table of the one row that names the version in force. */
export const CURRENT_TABLE = 'config'
export const CURRENT_KEY = 'current'
/** Table of the version rows, by padded version. */
export const VERSION_TABLE = 'configs'
/** Table that makes patch ids unique. */
export const PATCH_TABLE = 'configPatches'
/** Object that names the newest snapshot. */
export const LATEST_OBJECT = 'config/latest'
/** Bytes of JSON of one patch, and of the difference it makes; keeps rows below usual limits of table services. */
export const MAX_PATCH_BYTES = 128 * 1024
/** Every so many versions a snapshot is written. */
export const SNAPSHOT_EVERY = 64

const VERSION_DIGITS = 10
const version = z.number().int().nonnegative()
const digest = z.string().regex(/^[0-9a-f]{64}$/)
const pointer = z.string()

/** One RFC 6902 operation. */
export const operationSchema = z.discriminatedUnion('op', [
  z.strictObject({ op: z.literal('add'), path: pointer, value: z.json() }),
  z.strictObject({ op: z.literal('remove'), path: pointer }),
  z.strictObject({ op: z.literal('replace'), path: pointer, value: z.json() }),
  z.strictObject({ op: z.literal('move'), path: pointer, from: pointer }),
  z.strictObject({ op: z.literal('copy'), path: pointer, from: pointer }),
  z.strictObject({ op: z.literal('test'), path: pointer, value: z.json() })
])
export type PatchOperation = z.infer<typeof operationSchema>

/** Names one version and what it contains. */
export const versionMarkSchema = z.object({ version, digest })
export type VersionMark = z.infer<typeof versionMarkSchema>

/** Row `config/current`. */
export const currentRowSchema = versionMarkSchema.extend({ patchId: z.string() })
export type CurrentRow = z.infer<typeof currentRowSchema>

/** Row `configs/<version>`; also the delta object of that version. */
export const versionRowSchema = versionMarkSchema.extend({
  patchId: z.string(),
  author: z.string(),
  /** Wall milliseconds of the table service shortly before acceptance. */
  at: z.number(),
  /** The operations as the operator sent them. */
  patch: z.array(operationSchema),
  /** The difference between the two documents, defaults included; replaying needs no schema. */
  delta: z.array(operationSchema)
})
export type VersionRow = z.infer<typeof versionRowSchema>

/** Row `configPatches/<patchId>`. */
export const patchRowSchema = z.object({ version, digest })
export type PatchRow = z.infer<typeof patchRowSchema>

/** A document: the configuration as operators patched it, before its schema is applied. */
export const documentSchema = z.record(z.string(), z.unknown())
export type ConfigDocument = z.infer<typeof documentSchema>

/** A whole version: a snapshot object, or the answer of a peer. */
export const wholeConfigSchema = versionMarkSchema.extend({ document: documentSchema })
export type WholeConfig = z.infer<typeof wholeConfigSchema>

/** The document that version 1 patches. It never changes, as every replay begins with it. */
export const firstDocument: ConfigDocument = { teams: {}, models: {}, runners: {}, services: {}, operators: {}, limits: {} }

/**
 * Key of a version row; sorts by version.
 * @param version - version number
 */
export function versionKey (version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0')
}

/**
 * Name of the snapshot object of a version.
 * @param mark - version and digest
 */
export function snapshotName (mark: VersionMark): string {
  return `config/snapshot/${versionKey(mark.version)}-${mark.digest}`
}

/**
 * Name of the object that repeats a version row for VMs that start while the table is down.
 * @param version - version number
 */
export function deltaName (version: number): string {
  return `config/delta/${versionKey(version)}`
}
