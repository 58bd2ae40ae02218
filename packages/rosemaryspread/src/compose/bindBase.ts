/**
 * Bindings that depend only on the settings: identity, clock, log, metrics, and the clients of the platform, the peers and
 * the runners.
 */
import type { Container } from 'inversify'
import { JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import { JsonRpcPeerServer } from '@rosemaryspread/peers/link/peerServer.js'
import { HttpObjectStore } from '@rosemaryspread/infra/objects/httpObjectStore.js'
import { HttpTableStore } from '@rosemaryspread/infra/table/httpTableStore.js'
import { HttpVmList } from '@rosemaryspread/infra/vmList/httpVmList.js'
import { HttpApplicationClient } from '@rosemaryspread/runners/application/httpApplicationClient.js'
import { HttpEngineClient } from '@rosemaryspread/runners/engine/httpEngineClient.js'
import { bindClients } from '../clients/bindClients.js'
import { OpenWork } from '../completion/completionDrain.js'
import { SystemClock, SystemRandom } from '../completion/completionSystem.js'
import { BunyanEventLog } from '../log/logger.js'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import type { Settings } from '../settings/settingsSchema.js'
import { ids } from './serviceIds.js'
import { createIdentity } from './vmIdentity.js'

/** Time limit in milliseconds of engine calls that are not streamed. */
const ENGINE_CALL_TIMEOUT_MS = 2_000
const MAX_APPLICATION_ANSWER_BYTES = 16 * 1024 * 1024

/** Creates the identity of the process; the other bind functions need it. */
export function bindBase (container: Container, settings: Settings): void {
  const identity = createIdentity(settings)
  const { vm, domain, holder } = identity
  container.bind(ids.settings).toConstantValue(settings)
  container.bind(ids.identity).toConstantValue(identity)
  container.bind(ids.clock).toConstantValue(new SystemClock())
  container.bind(ids.random).toConstantValue(new SystemRandom())
  container.bind(ids.log).toConstantValue(new BunyanEventLog({ vm, domain, holder, level: settings.logLevel }))
  container.bind(ids.metrics).toConstantValue(new MetricsRecorder())
  container.bind(ids.work).toConstantValue(new OpenWork())
  bindClients(container, settings.clients)
  bindPlatform(container, settings)
  bindRunners(container, settings)
  bindPeers(container, settings, holder)
}

function bindPlatform (container: Container, { vm, platform }: Settings): void {
  container.bind(ids.table).toConstantValue(new HttpTableStore(platform.table, vm, platform.timeoutMs))
  container.bind(ids.objects).toConstantValue(new HttpObjectStore(platform.objects, vm, platform.timeoutMs))
  container.bind(ids.vmList).toConstantValue(new HttpVmList(platform.vmList, vm, platform.timeoutMs))
}

function bindRunners (container: Container, { vm, runners }: Settings): void {
  container.bind(ids.engines).toConstantValue(new HttpEngineClient({
    vm,
    connectMs: runners.connectTimeoutMs,
    callMs: ENGINE_CALL_TIMEOUT_MS,
    firstEventMs: runners.firstTokenTimeoutMs,
    betweenEventsMs: runners.betweenTokensTimeoutMs,
    afterEndMs: ENGINE_CALL_TIMEOUT_MS
  }))
  container.bind(ids.applications).toConstantValue(new HttpApplicationClient({
    vm,
    connectMs: runners.connectTimeoutMs,
    maxBytes: MAX_APPLICATION_ANSWER_BYTES
  }))
}

function bindPeers (container: Container, { peerKeys }: Settings, holder: string): void {
  const identity = { holder, keys: peerKeys }
  container.bind(ids.peerClient).toResolvedValue((clock, random) =>
    new JsonRpcPeerClient({ identity, clock, random: () => random.next() }), [ids.clock, ids.random]).inSingletonScope()
  container.bind(ids.peerServer).toResolvedValue(log => new JsonRpcPeerServer(identity, log), [ids.log]).inSingletonScope()
}
