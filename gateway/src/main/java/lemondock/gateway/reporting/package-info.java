/**
 * Metrics reporting of a gateway on its own loop: exporters, the degradation detector, the status
 * page and the final metrics.
 */
package lemondock.gateway.reporting;
