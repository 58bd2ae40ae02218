/**
 * In-memory counters, gauges and HDR histograms, rendered in the Prometheus text format.
 */
import type { Histogram } from 'hdr-histogram-js'
// Imported directly because the main module also loads WebAssembly, compression and log formats, which are not used.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js'
import type { CounterName, GaugeName, HistogramName } from '@rosemaryspread/decisions/events/metricTable.js'
import type { Metrics } from './metricsTypes.js'

const QUANTILES = [50, 95, 99]
const MAX_MILLISECONDS = 3_600_000
const SIGNIFICANT_DIGITS = 2
/** Bits per histogram bucket counter. */
const COUNTER_BITS = 32

const MillisecondHistogram = constructorFromBucketSize(COUNTER_BITS)

export class MetricsRecorder implements Metrics {
  /** By name as rendered, with the label if there is one. */
  private readonly counters = new Map<string, number>()
  private readonly histograms = new Map<HistogramName, Histogram>()
  private readonly gauges = new Map<GaugeName, () => number>()

  count (name: CounterName, amount = 1, budget?: string): void {
    const series = `rosemaryspread_${name}_total${budget === undefined ? '' : `{budget=${JSON.stringify(budget)}}`}`
    this.counters.set(series, (this.counters.get(series) ?? 0) + amount)
  }

  record (name: HistogramName, milliseconds: number): void {
    const rounded = Math.min(MAX_MILLISECONDS, Math.max(0, Math.round(milliseconds)))
    this.getOrCreateHistogram(name).recordValue(rounded)
  }

  gauge (name: GaugeName, read: () => number): void {
    this.gauges.set(name, read)
  }

  render (): string {
    const gauges = [...this.gauges].map(([name, read]) => `rosemaryspread_${name} ${read()}`)
    const counters = [...this.counters].map(([name, value]) => `${name} ${value}`)
    const histograms = [...this.histograms].flatMap(([name, histogram]) => renderHistogram(name, histogram))
    return [...counters, ...gauges, ...histograms, ''].join('\n')
  }

  private getOrCreateHistogram (name: HistogramName): Histogram {
    const existing = this.histograms.get(name)
    if (existing !== undefined) return existing
    const created = new MillisecondHistogram(1, MAX_MILLISECONDS, SIGNIFICANT_DIGITS)
    this.histograms.set(name, created)
    return created
  }
}

function renderHistogram (name: string, histogram: Histogram): string[] {
  const lines = QUANTILES.map(quantile =>
    `rosemaryspread_${name}{quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`)
  return [...lines, `rosemaryspread_${name}_count ${histogram.totalCount}`]
}
