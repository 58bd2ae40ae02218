/**
 * Metrics of one VM: counters, gauges and duration histograms.
 */
import type { CounterName, GaugeName, HistogramName } from '@rosemaryspread/decisions/events/metricTable.js'

export interface Metrics {
  /**
   * Increments a counter, by 1 unless an amount is given.
   * @param budget - counts the series of this budget
   */
  count (name: CounterName, amount?: number, budget?: string): void
  /** Records a duration in a histogram. */
  record (name: HistogramName, milliseconds: number): void
  /** Registers a gauge; `read` is called on each scrape and returns the current value. */
  gauge (name: GaugeName, read: () => number): void
  /** Renders all metrics in the Prometheus text format. */
  render (): string
}
