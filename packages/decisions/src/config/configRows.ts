/**
 * Stored form of the configuration: rows of the table service and objects of the object store. A version row
 * contains only the difference from the previous version, so that its size does not depend on the number of teams;
 * full versions are snapshot objects, named by version and digest.
 */
import * as z from 'zod'

/** Table with the single row that names the current version. */
export const CURRENT_TABLE = 'config'
export const CURRENT_KEY = 'current'
/** Table of the version rows, keyed by zero-padded version. */
export const VERSION_TABLE = 'configs'
/** Table that enforces unique patch ids. */
export const PATCH_TABLE = 'configPatches'
/** Object that names the newest snapshot. */
export const LATEST_OBJECT = 'config/latest'
/** Bytes of JSON of one patch, and of its delta; keeps rows below the usual limits of table services. */
export const MAX_PATCH_BYTES = 128 * 1024
/** Versions between two snapshots. */
export const SNAPSHOT_INTERVAL_VERSIONS = 64

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

/** A version number and the digest of its document. */
export const versionRefSchema = z.object({ version, digest })
export type VersionRef = z.infer<typeof versionRefSchema>

/** Row `config/current`. */
export const currentRowSchema = versionRefSchema.extend({ patchId: z.string() })
export type CurrentRow = z.infer<typeof currentRowSchema>

/** Row `configs/<version>`; also the delta object of that version. */
export const versionRowSchema = versionRefSchema.extend({
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

/** A document: the configuration as patched, before its schema is applied. */
export const documentSchema = z.record(z.string(), z.unknown())
export type ConfigDocument = z.infer<typeof documentSchema>

/** A full version: a snapshot object, or the response of a peer. */
export const fullConfigSchema = versionRefSchema.extend({ document: documentSchema })
export type FullConfig = z.infer<typeof fullConfigSchema>

/** Document of version 0, which version 1 patches. It must never change, as every replay starts from it. */
export const initialDocument: ConfigDocument = { teams: {}, models: {}, runners: {}, services: {}, operators: {}, limits: {} }

/** Key of a version row; sorts by version. */
export function versionKey (version: number): string {
  return String(version).padStart(VERSION_DIGITS, '0')
}

/** Name of the snapshot object of a version. */
export function snapshotName (ref: VersionRef): string {
  return `config/snapshot/${versionKey(ref.version)}-${ref.digest}`
}

/** Name of the object that duplicates a version row, for VMs that start during a table outage. */
export function deltaName (version: number): string {
  return `config/delta/${versionKey(version)}`
}
