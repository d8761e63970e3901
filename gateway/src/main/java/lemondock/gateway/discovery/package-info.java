/**
 * Service discovery: sources of the endpoint list. An {@link
 * lemondock.gateway.discovery.EndpointListSource} follows a file or Consul's catalogue and reports
 * each list on the loop.
 */
package lemondock.gateway.discovery;
