/**
 * Measurements of the configuration: how soon a version is in force, and what it costs.
 */
import { measureSizes } from './config/sizeCost.js'
import { measurePropagationTimes } from './config/propagationTimes.js'
import { measureTraffic } from './config/trafficCounts.js'
import { measureWire } from './config/wireCost.js'
import type { Measurement } from './measureTypes.js'

/** Time until a version is in force on all six VMs. */
export const configMeasure: Measurement = {
  group: 'measure',
  name: 'config',
  title: 'time until a version is in force on all six VMs, by fault (virtual time)',
  run: async ({ seed }) => await measurePropagationTimes(seed)
}

/** Messages and bytes by the number of VMs. */
export const configTrafficMeasure: Measurement = {
  group: 'measure',
  name: 'config-traffic',
  title: 'configuration messages and bytes of a VM, idle and for each change, by VMs (virtual time)',
  run: async ({ seed }) => await measureTraffic(seed)
}

/** One poll and one push on the wire. */
export const configWireMeasure: Measurement = {
  group: 'measure',
  name: 'config-wire',
  title: 'bytes and processor time of one poll and one push (loopback)',
  run: async () => await measureWire()
}

/** Size and processor time by the number of teams. */
export const configSizeMeasure: Measurement = {
  group: 'measure',
  name: 'config-size',
  title: 'size of a configuration and time to patch, replay and load it, by teams',
  run: async () => await Promise.resolve(measureSizes())
}
