/**
 * Reports about a gateway on a loop of their own: exporters, the detector of degradations, the
 * status page and the final metrics.
 */
package lemondock.gateway.reporting;
