/**
 * Metrics of one VM: counters, gauges, and histograms of durations.
 */
import type { CounterName, GaugeName, HistogramName } from '@rosemaryspread/decisions/events/metricTable.js'

/** Where measurements go. */
export interface Metrics {
  /**
   * Adds to a counter.
   * @param name - the counter
   * @param by - amount, 1 unless given
   */
  count (name: CounterName, by?: number): void
  /**
   * Records a duration.
   * @param name - the histogram
   * @param milliseconds - the duration
   */
  record (name: HistogramName, milliseconds: number): void
  /**
   * Shows a value as it is whenever the metrics are read.
   * @param name - the gauge
   * @param read - answers the present value
   */
  gauge (name: GaugeName, read: () => number): void
  /** All metrics in the Prometheus text format. */
  render (): string
}
