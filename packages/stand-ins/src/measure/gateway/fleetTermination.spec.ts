/**
 * Guards against tokens that recovery bills though no request used them. A VM without the store uses tokens that it cannot report, and
 * if it terminates, all that it was allowed to use is billed. If that grows faster than requests arrive, the end of a fleet after a
 * partition of seconds costs the rest of what was prepaid, and requests are refused as spent from then on.
 * TERMINATION_SEEDS sets the number of random plays.
 */
import { expect } from 'chai'
import seedrandom from 'seedrandom'
import { GatewayFleet, type FleetCounts, type FleetShape } from './gatewayFleet.js'

const SETTLE_MS = 8_000
const BEFORE_MS = 20_000
/** Time from the termination of a VM to its restart, at which a partition ends too. */
const DOWNTIME_MS = 900
/** Time after which bills and returns of running requests are durable. */
const QUIET_MS = 4_000
const RECOVERY_MS = 12_000
const JUDGED_MS = 3_000
/** Seconds of the traffic of all VMs: prepaid tokens exceed a day's use by about 15 s, and a day may have several terminations. */
const MAX_LOST_S = 3
const MIN_SERVED_RATIO = 0.25
const MAX_REFUSED_RATIO = 0.05

const PLAYS = Number(process.env['TERMINATION_SEEDS'] ?? 2)
/** Partitions and terminations of one play. */
const STEPS = 8
const MAX_STEP_GAP_MS = 4_000
const LONGEST_PARTITION_MS = 8_000
/** Traffic that prepaid tokens cover if they are scarce. */
const SCARCE_TRAFFIC_MS = 12_000

const shape: FleetShape = {
  seed: 'termination',
  vms: 7,
  teams: 10,
  readsPerS: 2_000,
  writesPerS: 600,
  requestsPerS: 87,
  prepaidRatio: 1.3,
  prepaidTrafficMs: 50_000,
  kinds: [
    { part: 0.17, tokens: 9_300, used: 9_200, runMs: 700, waitMs: 300 },
    { part: 0.02, tokens: 42_000, used: 41_000, runMs: 1_200, waitMs: 300 },
    { part: 0.35, tokens: 1_200, used: 1_000, runMs: 500, waitMs: 150 },
    { part: 0.46, tokens: 2_420, used: 2_390, runMs: 300, waitMs: 200 }
  ]
}

interface TerminationCase {
  readonly name: string
  readonly cutMs: number
  readonly cutVms: number
  readonly overrides?: Partial<FleetShape>
  readonly terminate: (fleet: GatewayFleet) => Promise<void>
}

const terminateAll = async (fleet: GatewayFleet): Promise<void> => { await fleet.restartAll(DOWNTIME_MS) }

const cases: readonly TerminationCase[] = [
  { name: 'all VMs terminate', cutMs: 0, cutVms: 0, terminate: terminateAll },
  ...[1_000, 2_500, 5_300, 10_000].map(cutMs => ({ name: `all VMs terminate ${cutMs / 1_000} s after six of them lost the store`, cutMs, cutVms: 6, terminate: terminateAll })),
  { name: 'all VMs terminate 5.3 s after all of them lost the store', cutMs: 5_300, cutVms: 7, terminate: terminateAll },
  { name: 'all VMs terminate 5.3 s after six lost the store, where one serves the largest team', cutMs: 5_300, cutVms: 6, overrides: { isLargestTeamPinned: true }, terminate: terminateAll },
  { name: 'one VM terminates 5.3 s after it lost the store', cutMs: 5_300, cutVms: 1, terminate: async fleet => { await fleet.restartInTurn(1, DOWNTIME_MS) } },
  { name: 'three VMs terminate in turn while they have lost the store', cutMs: 3_000, cutVms: 3, terminate: async fleet => { await fleet.restartInTurn(3, DOWNTIME_MS) } },
  { name: 'three VMs stop gracefully while they have lost the store', cutMs: 3_000, cutVms: 3, terminate: async fleet => { await fleet.restartGracefully(3, 2_000, DOWNTIME_MS) } }
]

/** Tokens that the traffic of one second uses. */
const tokensPerS = shape.requestsPerS * shape.kinds.reduce((sum, { part, used }) => sum + part * used, 0)
const wronglyRefusedRatio = ({ asked, wrongfullyRefused }: FleetCounts): number => wrongfullyRefused / asked

/** Serves until the VMs have terminated; traffic goes on, as far as VMs are up. */
async function serveUntilTerminated ({ cutMs, cutVms, overrides, terminate }: TerminationCase): Promise<{ readonly fleet: GatewayFleet, readonly cut: FleetCounts | undefined }> {
  const fleet = new GatewayFleet({ ...shape, ...overrides })
  await fleet.time.run(SETTLE_MS)
  await fleet.serve(BEFORE_MS)
  fleet.cutOffStore(cutMs + DOWNTIME_MS, cutVms)
  const cut = cutMs === 0 ? undefined : await fleet.serve(cutMs)
  await terminate(fleet)
  return { fleet, cut }
}

/** Steps of a random play; partitions go on through the steps after them. */
const steps: ReadonlyArray<(fleet: GatewayFleet, random: () => number) => Promise<unknown>> = [
  async (fleet, random) => { fleet.cutOffStore(random() * LONGEST_PARTITION_MS, 1 + Math.floor(random() * shape.vms)) },
  async fleet => { fleet.stallConnections() },
  async (fleet, random) => { await fleet.restartAll(random() * 2 * DOWNTIME_MS) },
  async (fleet, random) => { await fleet.restartInTurn(1 + Math.floor(random() * 3), random() * 2 * DOWNTIME_MS) },
  async (fleet, random) => { await fleet.restartGracefully(1 + Math.floor(random() * 3), 2_000, random() * 2 * DOWNTIME_MS) }
]

describe('GatewayFleet', () => {
  for (let play = 0; play < PLAYS; play += 1) {
    it(`bills all tokens that requests use, through partitions and terminations in series (seed ${play})`, async () => {
      const random = seedrandom(`play ${play}`)
      // With scarce tokens VMs use all that their reports allow.
      const fleet = new GatewayFleet({ ...shape, seed: `play ${play}`, prepaidTrafficMs: SCARCE_TRAFFIC_MS })
      await fleet.time.run(SETTLE_MS)
      for (let step = 0; step < STEPS; step += 1) {
        await fleet.serve(random() * MAX_STEP_GAP_MS)
        await steps[Math.floor(random() * steps.length)]?.(fleet, random)
      }
      await fleet.time.run(LONGEST_PARTITION_MS + QUIET_MS)
      const { unbilledUse } = await fleet.compareBills()
      expect([fleet.overspent, unbilledUse]).to.deep.equal([0, 0])
    })
  }

  for (const item of cases) {
    it(`loses few prepaid tokens when ${item.name}`, async () => {
      const { fleet } = await serveUntilTerminated(item)
      await fleet.time.run(QUIET_MS)
      const { billedUnused, unbilledUse } = await fleet.compareBills()
      const lostS = billedUnused / tokensPerS
      expect(unbilledUse, `lost ${lostS.toFixed(2)} s`).to.equal(0)
      expect(lostS).to.be.at.most(MAX_LOST_S)
    })

    it(`serves during the partition, and again once recovered, when ${item.name}`, async () => {
      const { fleet, cut } = await serveUntilTerminated(item)
      await fleet.serve(RECOVERY_MS)
      const judged = await fleet.serve(JUDGED_MS)
      const details = JSON.stringify({ cut, judged })
      expect(fleet.overspent, details).to.equal(0)
      if (cut !== undefined) expect(wronglyRefusedRatio(cut), details).to.be.at.most(MAX_REFUSED_RATIO)
      expect((judged.asked - judged.refused) / judged.asked, details).to.be.at.least(MIN_SERVED_RATIO)
    })
  }
})
