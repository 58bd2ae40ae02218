/**
 * HTTP API of the object store stand-in; objects are in memory.
 */
import { HistoryLog } from '../control/historyLog.js'
import type { StandInDefinition } from '../control/standIn.js'

const OBJECT_PATH = /^\/objects\/(.+)$/

/** Creates an empty object store. */
export function objectStoreDefinition (): StandInDefinition {
  const objects = new Map<string, Buffer>()
  return {
    routes: [
      {
        method: 'GET',
        pattern: OBJECT_PATH,
        serve: ({ params: [name = ''] }) => {
          const body = objects.get(name)
          return body === undefined ? { status: 404, body: { error: `no object ${name}` } } : { status: 200, body }
        }
      },
      {
        method: 'PUT',
        pattern: OBJECT_PATH,
        serve: ({ params: [name = ''], body }) => {
          objects.set(name, body)
          return { status: 204, effect: true }
        }
      }
    ],
    history: new HistoryLog(),
    state: () => ({ objects: Object.fromEntries([...objects].map(([name, body]) => [name, body.length])) })
  }
}
