/**
 * Messages in which VMs tell and ask each other which software version began a stream. One schema defines the types and the messages.
 */
import * as z from 'zod'

/** Streams per message. */
export const MAX_STREAMS = 500
const MAX_CHARACTERS = 200

const keySchema = z.string().min(1).max(MAX_CHARACTERS)
const versionSchema = z.string().max(MAX_CHARACTERS)

/** Streams that began, by their key, and their software versions. */
export const begunStreamsSchema = z.object({ streams: z.array(z.tuple([keySchema, versionSchema])).max(MAX_STREAMS) })

/** Asks which version began a stream. */
export const streamQuerySchema = z.object({ key: keySchema, service: versionSchema })
export type StreamQuery = z.infer<typeof streamQuerySchema>

/** Software versions of the targets of a service over the lifetime of a stream, as one VM knows them. */
export const serviceVersionsSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('sole'), version: versionSchema }),
  z.object({ kind: z.literal('several') }),
  /** The VM cannot read the register, or what the store knows of the service. */
  z.object({ kind: z.literal('unknown') })
])
export type ServiceVersions = z.infer<typeof serviceVersionsSchema>

/** What a VM knows of a stream; `version` is absent if it holds no record. */
export const streamAnswerSchema = z.object({ version: versionSchema.optional(), service: serviceVersionsSchema })
export type StreamAnswer = z.infer<typeof streamAnswerSchema>
