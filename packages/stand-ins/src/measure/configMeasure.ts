/**
 * Measurements of configuration propagation: time until a version is in force, messages, bytes and processor time.
 */
import { measureSizes } from './config/sizeCost.js'
import { measurePropagationTimes } from './config/propagationTimes.js'
import { measureTraffic } from './config/trafficCounts.js'
import { measureWire } from './config/wireCost.js'
import type { Measurement } from './measureTypes.js'

export const configMeasure: Measurement = {
  group: 'measure',
  name: 'config',
  title: 'time until a version is in force on all six VMs, by fault (virtual time)',
  run: async ({ seed }) => await measurePropagationTimes(seed)
}

export const configTrafficMeasure: Measurement = {
  group: 'measure',
  name: 'config-traffic',
  title: 'configuration messages and bytes of a VM, idle and for each change, by VMs (virtual time)',
  run: async ({ seed }) => await measureTraffic(seed)
}

export const configWireMeasure: Measurement = {
  group: 'measure',
  name: 'config-wire',
  title: 'bytes and processor time of one poll and one push (loopback)',
  run: async () => await measureWire()
}

export const configSizeMeasure: Measurement = {
  group: 'measure',
  name: 'config-size',
  title: 'size of a configuration and time to patch, replay and load it, by teams',
  run: async () => await Promise.resolve(measureSizes())
}
