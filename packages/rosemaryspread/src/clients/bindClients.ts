/** Binding of the guard that all servers of a process share. */
import type { Container } from 'inversify'
import { ClientGuard } from '@rosemaryspread/http/server/clientGuard.js'
import type { ClientLimits } from '@rosemaryspread/http/server/clientLimits.js'
import { ids } from '../compose/serviceIds.js'
import { ClientReport } from './clientReport.js'

/** Needs the bindings of the clock, the log and the metrics. */
export function bindClients (container: Container, limits: ClientLimits): void {
  container.bind(ids.clients).toResolvedValue((clock, log, metrics) => {
    const guard = new ClientGuard(limits, new ClientReport(clock, log, metrics))
    metrics.gauge('requests_ahead', () => guard.openAhead)
    return guard
  }, [ids.clock, ids.log, ids.metrics]).inSingletonScope()
}
