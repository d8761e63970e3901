/**
 * Where the endpoint list comes from: a file or Consul's catalogue, and the forms it is written in.
 */
package lemondock.gateway.discovery;
