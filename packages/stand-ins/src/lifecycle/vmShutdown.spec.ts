/**
 * Guards against a start that goes on after the drain of its VM: the table answers late, and the VM joins the fleet although it has
 * stopped.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { Right } from 'purify-ts'
import { composeVm } from 'rosemaryspread/compose/composeVm.js'
import { ids } from 'rosemaryspread/compose/serviceIds.js'
import { settingsSchema } from 'rosemaryspread/settings/settingsSchema.js'
import { MemoryObjects } from '../config/memoryObjects.js'
import { MemoryTableStore, type TableOperation } from '../table/memoryTableStore.js'

/** Time for calls that were open during the drain to end. */
const OPEN_CALLS_MS = 200
/** Longer than the periods of heartbeats, leases and polls. */
const WATCHED_MS = 2_500
const settings = settingsSchema.parse({
  vm: 'vm-1',
  domain: 'zone-a',
  region: 'region',
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  platform: { table: 'http://127.0.0.1:1', objects: 'http://127.0.0.1:1', weights: 'http://127.0.0.1:1', vmList: 'http://127.0.0.1:1' },
  peerKeys: ['0123456789abcdef'],
  drainLingerMs: 50,
  drainTimeoutMs: 500,
  logLevel: 'error'
})

const callCount = ({ calls }: MemoryTableStore): number => calls.read + calls.scan + calls.transact

describe('a VM of the own interface that was drained during its start', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly heldCall: TableOperation }> = [
    { name: 'while the configuration is read', heldCall: 'read' },
    { name: 'while the read configuration is confirmed', heldCall: 'transact' },
    { name: 'while the members are read', heldCall: 'scan' }
  ]
  for (const { name, heldCall } of cases) {
    it(`${name} makes no further calls`, async () => {
      const table = new MemoryTableStore()
      let release: () => void = () => {}
      const released = new Promise<void>(resolve => { release = resolve })
      table.beforeCall = async operation => { if (operation === heldCall && table.calls[heldCall] === 1) await released }
      const vm = composeVm(settings, container => {
        container.rebind(ids.table).toConstantValue(table)
        container.rebind(ids.objects).toConstantValue(new MemoryObjects())
        container.rebind(ids.vmList).toConstantValue({ list: async () => Right({ vms: [], now: 0, asOf: 0 }) })
      })
      const started = vm.start()
      while (table.calls[heldCall] === 0) await pause(5)
      await vm.drain()
      release()
      expect((await started).isRight()).to.equal(true)
      await pause(OPEN_CALLS_MS)
      const before = callCount(table)
      await pause(WATCHED_MS)
      expect(callCount(table)).to.equal(before)
    })
  }
})
