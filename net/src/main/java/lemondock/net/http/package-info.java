/**
 * Non-blocking HTTP/1.1 server and client on the interfaces of {@link lemondock.net}.
 *
 * <p>Server: {@link lemondock.net.http.HttpServer} accepts connections, {@code ServerConnection}
 * queues the requests of one client and enforces timeouts, {@code RequestAssembler} assembles bytes
 * into requests, {@link lemondock.net.http.HttpService} serves them and {@link
 * lemondock.net.http.HttpExchange} writes the response.
 *
 * <p>Client: {@link lemondock.net.http.HttpClient} sends requests over a {@code ConnectionPool} of
 * {@code ClientConnection}s, {@code ResponseAssembler} assembles bytes into heads, bodies and
 * events, and a {@link lemondock.net.http.ResponseReceiver} is notified of them.
 *
 * <p>{@link lemondock.net.http.HttpDecoder} and {@link lemondock.net.http.HttpEncoder} implement
 * the message format and do no I/O.
 */
package lemondock.net.http;
